// Package scale runs many agent sessions without callers in one process against real control processes, and measures
// traffic, processor time and delays per host.
package scale
