package main

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/process/actor"
)

// process is a control, agent or stand-in process. Run stops when the context ends and returns nil after a planned stop.
type process interface {
	Run(ctx context.Context) error
}

// newRole returns a command that runs one process with a settings file.
// The function load checks the file and returns a constructor of the process.
func newRole(nam, sht, exm string, load func(fil string) (settings.Log, func() (process, error), error)) *cobra.Command {
	fil, chk := "", false
	cmd := &cobra.Command{
		Use: nam, Short: sht, Example: exm, Args: cobra.NoArgs,
		RunE: action(func(cmd *cobra.Command, _ []string) error {
			log, build, err := load(fil)
			if err != nil {
				return err
			}
			if chk {
				fmt.Fprintln(cmd.OutOrStdout(), "valid")
				return nil
			}
			actor.ConfigureLog(log)
			prc, err := build()
			if err != nil {
				return err
			}
			return prc.Run(cmd.Context())
		}),
	}
	cmd.Flags().StringVar(&fil, "settings", "", "settings file (required)")
	cmd.Flags().BoolVar(&chk, "check", false, "only check the settings file")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// logger returns the standard logger, which the command configures before it builds the process.
func logger() *logrus.Logger { return logrus.StandardLogger() }
