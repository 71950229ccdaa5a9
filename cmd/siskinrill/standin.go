package main

import (
	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/process/standin"
)

func init() { register("", newStandin) }

func newStandin() *cobra.Command {
	return newRole(
		"standin", "Run one stand-in backend server", "  siskinrill standin --settings examples/rangsudhar/settings/standin-checkout-1.toml",
		func(fil string) (settings.Log, func() (process, error), error) {
			set, err := settings.LoadStandin(fil)
			return set.Log, func() (process, error) {
				return standin.New(standin.Options{Settings: set, Logger: logger()})
			}, err
		},
	)
}
