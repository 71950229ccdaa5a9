// Package registry holds the replicated tables of nodes, ownership and configuration, which change only by
// applying committed commands.
package registry
