package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
	"github.com/siskinrill/siskinrill/internal/config/source"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// zoneDrainTime is how long after the order the upstreams of a zone may still start requests until a load report shows it:
// the grace of 2.5 s, and a report interval of 1 s.
const zoneDrainTime = 4 * time.Second

type zoneFlags struct {
	wait    bool
	timeout time.Duration
}

func init() {
	register("", func() *cobra.Command { return newGroup("zone", "Drain an availability zone, or take it back into use") })
	register("zone", newZoneDrain)
	register("zone", newZoneUndrain)
}

func newZoneDrain() *cobra.Command {
	var flg zoneFlags
	cmd := &cobra.Command{
		Use:     "drain ZONE",
		Short:   "Send no further requests to the upstreams of a zone",
		Long:    "Moves every key away from the upstreams of a zone, and sends them no further requests from 5 s after the order until it is withdrawn with undrain. The agents of the zone go on accepting callers. The order outlasts restarts of all processes.",
		Example: "  siskinrill zone drain north",
		Args:    cobra.ExactArgs(1),
		RunE:    action(func(cmd *cobra.Command, args []string) error { return runZoneDrain(cmd, args[0], flg) }),
	}
	cmd.Flags().BoolVar(&flg.wait, "wait", true, "show the progress and wait until the zone owns nothing and has no request in flight")
	cmd.Flags().DurationVar(&flg.timeout, "timeout", 2*time.Minute, "time limit of --wait")
	return cmd
}

func newZoneUndrain() *cobra.Command {
	return &cobra.Command{
		Use:     "undrain ZONE",
		Short:   "Withdraw the drain of a zone",
		Example: "  siskinrill zone undrain north",
		Args:    cobra.ExactArgs(1),
		RunE: action(func(cmd *cobra.Command, args []string) error {
			ans, err := client(cmd).DrainZone(cmd.Context(), args[0], true)
			if err != nil {
				return err
			}
			return printZone(cmd, args[0]+" is used again", ans.GetZone())
		}),
	}
}

func runZoneDrain(cmd *cobra.Command, nam string, flg zoneFlags) error {
	cli := client(cmd)
	ans, err := cli.DrainZone(cmd.Context(), nam, false)
	if err != nil {
		return err
	}
	zon := ans.GetZone()
	if zon.GetUpstreams()+zon.GetPartitions() == 0 {
		warnUnknownZone(cmd, cli, nam)
	}
	if !flg.wait {
		return printZone(cmd, zoneText(zon), zon)
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), flg.timeout)
	defer cancel()
	if zon, err = awaitZone(ctx, cmd, cli, zon); err != nil {
		return err
	}
	return printZone(cmd, nam+" is drained", zon)
}

// warnUnknownZone warns that no upstream is in the zone. The order stands: its agents may be unreachable at the moment.
func warnUnknownZone(cmd *cobra.Command, cli *adminhttp.Client, nam string) {
	sta, err := cli.Status(cmd.Context())
	if err != nil {
		return
	}
	var known []string
	for _, zon := range sta.GetZones() {
		if zon.GetUpstreams() > 0 {
			known = append(known, zon.GetZone())
		}
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "the order is stored, but no upstream is in zone %q%s\n", nam, source.Suggestion(nam, known))
}

// awaitZone polls the status until the zone owns nothing and has no request in flight.
func awaitZone(ctx context.Context, cmd *cobra.Command, cli *adminhttp.Client, zon *controlpb.ZoneStatus) (*controlpb.ZoneStatus, error) {
	began, shown := time.Now(), ""
	for {
		if lin := zoneText(zon); lin != shown {
			fmt.Fprintln(textOut(cmd), lin)
			shown = lin
		}
		settled := zon.GetUpstreams() == 0 || time.Since(began) >= zoneDrainTime
		if settled && zon.GetPartitions() == 0 && zon.GetInFlight() == 0 {
			return zon, nil
		}
		select {
		case <-ctx.Done():
			return zon, errors.Errorf("%s; the order stands", zoneText(zon))
		case <-time.After(drainPollInterval):
		}
		if sta, err := cli.Status(ctx); err == nil {
			zon = findZone(sta, zon.GetZone())
		}
		if !zon.GetDrained() {
			return zon, errors.Errorf("the drain of %s was withdrawn", zon.GetZone())
		}
	}
}

func findZone(sta *controlpb.StatusAnswer, nam string) *controlpb.ZoneStatus {
	for _, zon := range sta.GetZones() {
		if zon.GetZone() == nam {
			return zon
		}
	}
	return &controlpb.ZoneStatus{Zone: nam}
}

func zoneText(zon *controlpb.ZoneStatus) string {
	return fmt.Sprintf("%s drains: %d partitions, %d requests in flight", zon.GetZone(), zon.GetPartitions(), zon.GetInFlight())
}

func printZone(cmd *cobra.Command, txt string, zon *controlpb.ZoneStatus) error {
	if asJSON(cmd) {
		return printJSON(cmd.OutOrStdout(), zon)
	}
	fmt.Fprintln(cmd.OutOrStdout(), txt)
	return nil
}

func printZones(out io.Writer, zons []*controlpb.ZoneStatus) {
	tbl := newTable(out)
	fmt.Fprintln(tbl, "ZONE\tSTATE\tUPSTREAMS\tOWNS\tIN FLIGHT")
	for _, zon := range zons {
		ste := "in use"
		switch {
		case zon.GetDrained() && zon.GetPartitions()+zon.GetInFlight() > 0:
			ste = "draining"
		case zon.GetDrained():
			ste = "drained"
		}
		fmt.Fprintf(tbl, "%s\t%s\t%d\t%d\t%d\n", zon.GetZone(), ste, zon.GetUpstreams(), zon.GetPartitions(), zon.GetInFlight())
	}
	_ = tbl.Flush()
}
