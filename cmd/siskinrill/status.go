package main

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// clearScreen is an escape sequence that moves the cursor to the top left and erases the screen.
const clearScreen = "\x1b[H\x1b[2J"

type statusFlags struct {
	watch    bool
	interval time.Duration
}

func init() { register("", newStatus) }

func newStatus() *cobra.Command {
	var flg statusFlags
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the control group, the services and the upstreams",
		Example: "  siskinrill status\n  siskinrill status --watch\n  siskinrill status --json --admin 127.0.0.1:9201",
		Args:    cobra.NoArgs,
		RunE:    action(func(cmd *cobra.Command, _ []string) error { return runStatus(cmd, flg) }),
	}
	cmd.Flags().BoolVar(&flg.watch, "watch", false, "refresh the status until interrupted")
	cmd.Flags().DurationVar(&flg.interval, "interval", time.Second, "time between two refreshes of --watch")
	return cmd
}

func runStatus(cmd *cobra.Command, flg statusFlags) error {
	if !flg.watch {
		return showStatus(cmd)
	}
	for {
		if !asJSON(cmd) {
			fmt.Fprint(cmd.OutOrStdout(), clearScreen)
		}
		if err := showStatus(cmd); err != nil {
			fmt.Fprintf(cmd.OutOrStdout(), "no status: %v\n", err)
		}
		select {
		case <-cmd.Context().Done():
			return nil
		case <-time.After(flg.interval):
		}
	}
}

func showStatus(cmd *cobra.Command) error {
	ans, err := client(cmd).Status(cmd.Context())
	if err != nil {
		return err
	}
	if asJSON(cmd) {
		return printJSON(cmd.OutOrStdout(), ans)
	}
	printStatus(cmd.OutOrStdout(), ans)
	return nil
}

func printStatus(out io.Writer, ans *controlpb.StatusAnswer) {
	fmt.Fprintf(
		out, "leader %s, term %d, commit %d, configuration %d, cluster %s\n\n",
		leaderName(ans), ans.GetTerm(), ans.GetCommit(), ans.GetConfigurationNumber(), ans.GetClusterId(),
	)
	printMembers(out, ans)
	fmt.Fprintln(out)
	printServices(out, ans.GetServices())
	fmt.Fprintln(out)
	printZones(out, ans.GetZones())
	fmt.Fprintln(out)
	printUpstreams(out, ans)
}

func leaderName(ans *controlpb.StatusAnswer) string {
	for _, mbr := range ans.GetMembers() {
		if mbr.GetLeader() {
			return mbr.GetMember().GetName()
		}
	}
	return "unknown"
}

func printServices(out io.Writer, svcs []*controlpb.ServiceStatus) {
	tbl := newTable(out)
	fmt.Fprintln(tbl, "SERVICE\tPARTITIONS\tNO OWNER\tMOVING\tOVERRIDES\tIMBALANCE\tGRANTS")
	for _, svc := range svcs {
		fmt.Fprintf(
			tbl, "%s\t%d\t%d\t%d\t%d\t%.2f\t%s\n",
			svc.GetService(), svc.GetPartitions(), svc.GetOrphans(), svc.GetMoving(), svc.GetOverrides(), svc.GetImbalance(), firstNonEmpty(svc.GetCarrier(), "-"),
		)
	}
	_ = tbl.Flush()
}

func printUpstreams(out io.Writer, ans *controlpb.StatusAnswer) {
	rows := append([]*controlpb.UpstreamStatus{}, ans.GetUpstreams()...)
	sort.SliceStable(rows, func(i, j int) bool {
		ups, oth := rows[i].GetNode().GetUpstream(), rows[j].GetNode().GetUpstream()
		if ups.GetService() != oth.GetService() {
			return ups.GetService() < oth.GetService()
		}
		return ups.GetId() < oth.GetId()
	})
	tbl := newTable(out)
	fmt.Fprintln(tbl, "UPSTREAM\tSERVICE\tZONE\tSTATE\tOWNS\tMOVING\tREQ/S\tBUSY\tIN FLIGHT\tQUEUED\tLIMIT\tBEHIND\tREFUSALS")
	for _, row := range rows {
		ups := row.GetNode().GetUpstream()
		fmt.Fprintf(
			tbl, "%s\t%s\t%s\t%s\t%s\t%d\t%.1f\t%.0f%%\t%d\t%d\t%d\t%d\t%s\n",
			firstNonEmpty(ups.GetId(), row.GetNode().GetName()), firstNonEmpty(ups.GetService(), "-"), row.GetNode().GetZone(), stateText(row), ownedText(row), row.GetMoving(),
			row.GetRequestsPerSecond(), 100*row.GetBusyShare(), row.GetInFlight(), row.GetQueued(), row.GetLimit(),
			versionLag(ans.GetCommit(), row.GetVersion()), countsText(row.GetRefusals()),
		)
	}
	_ = tbl.Flush()
}

func firstNonEmpty(one, two string) string {
	if one != "" {
		return one
	}
	return two
}

func stateText(row *controlpb.UpstreamStatus) string {
	txt := strings.ToLower(strings.TrimPrefix(row.GetNode().GetUpstream().GetState().String(), "UPSTREAM_STATE_"))
	if row.GetDraining() && txt == "serving" {
		return "draining"
	}
	return txt
}

func ownedText(row *controlpb.UpstreamStatus) string {
	if row.GetOverrides() == 0 {
		return fmt.Sprintf("%d", row.GetPartitions())
	}
	return fmt.Sprintf("%d+%d", row.GetPartitions(), row.GetOverrides())
}

func versionLag(com, ver uint64) uint64 {
	if ver >= com {
		return 0
	}
	return com - ver
}

func countsText(cnts map[string]uint64) string {
	var out []string
	for nam, cnt := range cnts {
		out = append(out, fmt.Sprintf("%s=%d", nam, cnt))
	}
	if out == nil {
		return "-"
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}
