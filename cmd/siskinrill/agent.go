package main

import (
	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/host/ingress"
	"github.com/siskinrill/siskinrill/internal/process/agent"
)

func init() { register("", newAgent) }

func newAgent() *cobra.Command {
	return newRole(
		"agent", "Run the agent beside one backend server", "  siskinrill agent --settings examples/rangsudhar/settings/agent-checkout-1.toml",
		func(fil string) (settings.Log, func() (process, error), error) {
			set, err := settings.LoadAgent(fil)
			return set.Log, func() (process, error) {
				ingress.Configure(set.Resources())
				return agent.New(agent.Options{Settings: set, Logger: logger()})
			}, err
		},
	)
}
