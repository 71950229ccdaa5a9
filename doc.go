// Package siskinrill holds the identifiers, errors and interfaces shared by the parts of the router; implementations live under internal/.
package siskinrill
