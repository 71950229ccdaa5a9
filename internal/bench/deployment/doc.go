// Package deployment holds the tests that run the example deployments as separate processes and kill, freeze, stop and restart them under load.
package deployment
