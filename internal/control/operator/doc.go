// Package operator answers operators at the leader: configuration changes, status, owners, drains and members.
package operator
