package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/config/file"
)

func init() { register("config", newConfigCheck) }

func newConfigCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check DIR",
		Short:   "Check a configuration directory and list every error",
		Example: "  siskinrill config check examples/rangsudhar/config",
		Args:    cobra.ExactArgs(1),
		RunE: action(func(cmd *cobra.Command, args []string) error {
			cfg, err := file.Load(args[0])
			if err != nil {
				return err
			}
			if asJSON(cmd) {
				return printJSON(cmd.OutOrStdout(), cfg)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "valid: %d services, %d routes\n", len(cfg.GetServices()), len(cfg.GetRoutes()))
			return nil
		}),
	}
}
