// Package scale runs many light agent sessions in one process against real control processes and measures what control costs for each node.
package scale
