// Package examples embeds the example deployments, which the dev command and the tests use.
package examples

import (
	"embed"
	"io/fs"
)

// Names of the examples, which are also their directory names.
const (
	Rangsudhar = "rangsudhar"
	Bassma     = "bassma"
)

//go:embed rangsudhar bassma
var files embed.FS

// Config returns the configuration directory of an example as a file system.
func Config(nam string) (fs.FS, error) { return fs.Sub(files, nam+"/config") }

// Settings returns the directory with a settings file for each process of an example, named ROLE-NAME.toml.
func Settings(nam string) (fs.FS, error) { return fs.Sub(files, nam+"/settings") }
