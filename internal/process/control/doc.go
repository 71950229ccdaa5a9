// Package control assembles a control process from the replicated log, the registry, the sessions of agents, the operator
// service and the admin API.
package control
