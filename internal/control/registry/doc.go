// Package registry holds the replicated tables of nodes, ownership and configuration, changed only by applying committed commands.
package registry
