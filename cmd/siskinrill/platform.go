package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/process/actor"
	"github.com/siskinrill/siskinrill/platform"
)

func init() { register("", newPlatform) }

func newPlatform() *cobra.Command {
	return &cobra.Command{
		Use: "platform", Short: "Run the process described by the platform's settings file", Args: cobra.NoArgs,
		Example: "  siskinrill platform # as deploy/system.toml runs it",
		RunE: action(func(cmd *cobra.Command, _ []string) error {
			mac, err := platform.ReadSettings()
			if err != nil {
				return err
			}
			log := actor.ConfigureLog(settings.Log{Level: "info", Format: "json"})
			log.SetOutput(os.Stdout)
			ignoreReload(log)
			prc, err := platform.New(mac, log)
			if err != nil {
				return err
			}
			return prc.Run(cmd.Context())
		}),
	}
}

// ignoreReload keeps SIGHUP from ending the process. The signal announces changed control addresses,
// which the control members report as well.
func ignoreReload(log *logrus.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			log.Info("platform: Settings changed; control addresses are taken from the control members.")
		}
	}()
}
