package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/config/file"
)

func init() { register("config", newConfigShow) }

func newConfigShow() *cobra.Command {
	return &cobra.Command{
		Use:     "show",
		Short:   "Show the configuration that is in force, as TOML",
		Example: "  siskinrill config show\n  siskinrill config show --json --admin 127.0.0.1:9201",
		Args:    cobra.NoArgs,
		RunE: action(func(cmd *cobra.Command, _ []string) error {
			ans, err := client(cmd).Show(cmd.Context())
			if err != nil {
				return err
			}
			if asJSON(cmd) {
				return printJSON(cmd.OutOrStdout(), ans)
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "# Configuration %d, read at log index %d.\n", ans.GetConfiguration().GetNumber(), ans.GetIndex())
			fmt.Fprint(out, file.Text(ans.GetConfiguration()))
			return nil
		}),
	}
}
