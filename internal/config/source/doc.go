// Package source reads TOML files into sections with positions and checks their values, so that every error names file, line and key.
package source
