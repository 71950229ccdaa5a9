// Package deployment tests the example deployments as separate processes that are killed, frozen, stopped and
// restarted under load.
package deployment
