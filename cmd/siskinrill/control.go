package main

import (
	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/host/ingress"
	"github.com/siskinrill/siskinrill/internal/process/control"
)

func init() { register("", newControl) }

func newControl() *cobra.Command {
	return newRole(
		"control", "Run one control process", "  siskinrill control --settings examples/rangsudhar/settings/control-1.toml",
		func(fil string) (settings.Log, func() (process, error), error) {
			set, err := settings.LoadControl(fil)
			return set.Log, func() (process, error) {
				ingress.Configure(set.Resources())
				return control.New(control.Options{Settings: set, Logger: logger()})
			}, err
		},
	)
}
