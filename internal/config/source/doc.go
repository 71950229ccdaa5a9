// Package source reads TOML files into sections and checks their values; every error states the file, line and key.
package source
