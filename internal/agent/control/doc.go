// Package control keeps the agent's session with the control group: its lease, its copies of the configuration
// and of the ownership table, and its reports.
package control
