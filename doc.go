// Package siskinrill defines the identifiers, errors and interfaces that the parts of the router share;
// the implementations are under internal/.
package siskinrill
