// Package control keeps the agent's session with the control group: its lease, its copy of the configuration and of the ownership, and its reports.
package control
