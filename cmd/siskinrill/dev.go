package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/process/actor"
	"github.com/siskinrill/siskinrill/internal/process/dev"
)

func init() { register("", newDev) }

func newDev() *cobra.Command {
	var opt dev.Options
	var log settings.Log
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a complete deployment with stand-ins in one process on loopback",
		Long:  "Runs one control process, and one agent and one stand-in for each upstream of the built-in Rangsudhar example. Prints one line when the deployment is ready.",
		Example: "  siskinrill dev\n" +
			"  siskinrill dev --config examples/bassma/config --data /tmp/siskinrill",
		Args: cobra.NoArgs,
		RunE: action(func(cmd *cobra.Command, _ []string) error {
			opt.Admin, _ = cmd.Flags().GetString("admin")
			opt.Token, _ = cmd.Flags().GetString("token")
			opt.Logger = actor.ConfigureLog(log)
			prc, err := dev.New(opt)
			if err != nil {
				return err
			}
			return prc.Run(cmd.Context(), func() {
				fmt.Fprintf(cmd.OutOrStdout(), "ready listen=%s admin=%s\n", prc.Listen(), prc.Admin())
			})
		}),
	}
	cmd.Flags().StringVar(&opt.Config, "config", "", "configuration directory (default the built-in example)")
	cmd.Flags().StringVar(&opt.Listen, "listen", "127.0.0.1:8480", "IP:port for callers")
	cmd.Flags().StringVar(&opt.Data, "data", "", "data directory, kept after the process ends (default a temporary one)")
	cmd.Flags().StringVar(&log.Level, "log-level", "warn", "error, warn, info or debug")
	return cmd
}
