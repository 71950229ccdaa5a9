// Command standin plays the cases of the second review: it starts siskinrill's own processes as the deploy file does, plays
// the platform around them (upstreams, clients, operator) on loopback, and checks a rule.
package main
