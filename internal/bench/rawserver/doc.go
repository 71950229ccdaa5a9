// Package rawserver serves TCP connections whose answers are written byte by byte, in place of backend servers that break HTTP.
package rawserver
