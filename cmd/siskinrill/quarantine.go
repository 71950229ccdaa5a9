package main

import (
	"fmt"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

func init() {
	register("", func() *cobra.Command {
		return newGroup("quarantine", "Show requests that crash backend servers, or let one run again")
	})
	register("quarantine", newQuarantineList)
	register("quarantine", newQuarantineRelease)
}

func newQuarantineList() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "Show the requests during which backend servers have crashed",
		Long:    "Shows the requests during which backend servers have crashed, by fingerprint. The log line of the agent beside a crashed server (\"the server crashed while requests ran\") has their methods and paths.",
		Example: "  siskinrill quarantine list",
		Args:    cobra.NoArgs,
		RunE: action(func(cmd *cobra.Command, _ []string) error {
			sta, err := client(cmd).Status(cmd.Context())
			if err != nil {
				return err
			}
			if asJSON(cmd) {
				return printJSON(cmd.OutOrStdout(), &controlpb.StatusAnswer{Suspects: sta.GetSuspects()})
			}
			printSuspects(cmd, sta.GetSuspects())
			return nil
		}),
	}
}

func printSuspects(cmd *cobra.Command, sus []*controlpb.Suspect) {
	tbl := newTable(cmd.OutOrStdout())
	fmt.Fprintln(tbl, "REQUEST\tSTATE\tCRASHES")
	for _, itm := range sus {
		ste := "suspect"
		if siskinrill.InQuarantine(itm) {
			ste = "quarantined"
		}
		fmt.Fprintf(tbl, "%016x\t%s\t%d\n", itm.GetRequest(), ste, len(itm.GetServers()))
	}
	_ = tbl.Flush()
}

func newQuarantineRelease() *cobra.Command {
	return &cobra.Command{
		Use:     "release REQUEST",
		Short:   "Let a request run again and forget its crashes",
		Example: "  siskinrill quarantine release 00c0ffee00c0ffee",
		Args:    cobra.ExactArgs(1),
		RunE: action(func(cmd *cobra.Command, args []string) error {
			fpr, err := strconv.ParseUint(args[0], 16, 64)
			if err != nil {
				return errors.Errorf("%q is not a fingerprint of 16 hexadecimal digits", args[0])
			}
			ans, err := client(cmd).Release(cmd.Context(), fpr)
			if err != nil {
				return err
			}
			if asJSON(cmd) {
				return printJSON(cmd.OutOrStdout(), ans)
			}
			txt := "was not known"
			if ans.GetKnown() {
				txt = "may run again"
			}
			fmt.Fprintln(cmd.OutOrStdout(), args[0], txt)
			return nil
		}),
	}
}
