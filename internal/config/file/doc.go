// Package file reads and writes the configuration of services and routes, which is the merged content of all *.toml files
// of a directory.
package file
