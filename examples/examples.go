// Package examples holds the example deployments, which the dev command runs and tests check.
package examples

import (
	"embed"
	"io/fs"
)

// Names of the examples.
const (
	Rangsudhar = "rangsudhar"
	Bassma     = "bassma"
)

//go:embed rangsudhar bassma
var files embed.FS

// Config returns the configuration directory of an example.
func Config(nam string) (fs.FS, error) { return fs.Sub(files, nam+"/config") }

// Settings returns the directory with a settings file for each process of an example, named ROLE-NAME.toml.
func Settings(nam string) (fs.FS, error) { return fs.Sub(files, nam+"/settings") }
