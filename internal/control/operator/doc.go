// Package operator implements the operators' calls at the leader: configuration changes, status,
// owners, drains and members.
package operator
