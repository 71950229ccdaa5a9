// Package file reads the configuration directory: all *.toml files, merged in the order of their names.
package file
