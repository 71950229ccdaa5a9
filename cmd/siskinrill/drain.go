package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
	"github.com/siskinrill/siskinrill/internal/config/source"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// drainPollInterval is the time between two status requests.
const drainPollInterval = 500 * time.Millisecond

type drainFlags struct {
	undo    bool
	wait    bool
	timeout time.Duration
}

func init() { register("", newDrain) }

func newDrain() *cobra.Command {
	var flg drainFlags
	cmd := &cobra.Command{
		Use:   "drain UPSTREAM",
		Short: "Move every key away from an upstream, or undo a drain",
		Long:  "Moves every partition and override away from an upstream and waits until it owns nothing and has no request in flight. The upstream takes no new keys until --undo.",
		Example: "  siskinrill drain shadefinder-2\n" +
			"  siskinrill drain shadefinder-2 --undo",
		Args: cobra.ExactArgs(1),
		RunE: action(func(cmd *cobra.Command, args []string) error { return runDrain(cmd, args[0], flg) }),
	}
	cmd.Flags().BoolVar(&flg.undo, "undo", false, "let the upstream take keys again")
	cmd.Flags().BoolVar(&flg.wait, "wait", true, "show the progress and wait until the upstream owns nothing and has no request in flight")
	cmd.Flags().DurationVar(&flg.timeout, "timeout", 2*time.Minute, "time limit of --wait")
	return cmd
}

func runDrain(cmd *cobra.Command, ups string, flg drainFlags) error {
	cli := client(cmd)
	if !flg.undo {
		if err := checkUpstream(cmd, cli, ups); err != nil {
			return err
		}
	}
	ans, err := cli.Drain(cmd.Context(), &controlpb.DrainRequest{Upstream: ups, Undo: flg.undo})
	if err != nil {
		return err
	}
	if flg.undo || !flg.wait {
		return printDrain(cmd, ups, flg, ans)
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), flg.timeout)
	defer cancel()
	ans, err = awaitDrain(ctx, cmd, cli, ups)
	if err != nil {
		return err
	}
	return printDrain(cmd, ups, flg, ans)
}

// checkUpstream returns an error if no agent serves the upstream; the drain of a misspelt name would appear to succeed.
func checkUpstream(cmd *cobra.Command, cli *adminhttp.Client, ups string) error {
	sta, err := cli.Status(cmd.Context())
	if err != nil {
		return err
	}
	var ids []string
	for _, row := range sta.GetUpstreams() {
		ids = append(ids, row.GetNode().GetUpstream().GetId())
	}
	if slices.Contains(ids, ups) {
		return nil
	}
	return errors.Errorf("no agent guards an upstream %q%s", ups, source.Suggestion(ups, ids))
}

func printDrain(cmd *cobra.Command, ups string, flg drainFlags, ans *controlpb.DrainAnswer) error {
	switch {
	case asJSON(cmd):
		return printJSON(cmd.OutOrStdout(), ans)
	case flg.undo:
		fmt.Fprintf(cmd.OutOrStdout(), "%s takes keys again\n", ups)
	case flg.wait:
		fmt.Fprintf(cmd.OutOrStdout(), "%s is drained\n", ups)
	default:
		fmt.Fprintf(cmd.OutOrStdout(), "%s drains: %d partitions, %d requests in flight\n", ups, ans.GetPartitions(), ans.GetInFlight())
	}
	return nil
}

// awaitDrain polls the status until the upstream owns nothing and has no request in flight.
// An upstream that the status no longer lists owns nothing.
func awaitDrain(ctx context.Context, cmd *cobra.Command, cli *adminhttp.Client, ups string) (*controlpb.DrainAnswer, error) {
	last := &controlpb.DrainAnswer{}
	shown := ""
	for {
		sta, err := cli.Status(ctx)
		if err == nil {
			last = remainingLoad(sta, ups)
		}
		if err == nil && last.GetPartitions() == 0 && last.GetInFlight() == 0 {
			return last, nil
		}
		lin := fmt.Sprintf("%s: %d partitions, %d requests in flight", ups, last.GetPartitions(), last.GetInFlight())
		if lin != shown {
			fmt.Fprintln(textOut(cmd), lin)
			shown = lin
		}
		select {
		case <-ctx.Done():
			return last, errors.Errorf("%s still has %d partitions and %d requests in flight", ups, last.GetPartitions(), last.GetInFlight())
		case <-time.After(drainPollInterval):
		}
	}
}

func remainingLoad(sta *controlpb.StatusAnswer, ups string) *controlpb.DrainAnswer {
	out := &controlpb.DrainAnswer{}
	for _, row := range sta.GetUpstreams() {
		if row.GetNode().GetUpstream().GetId() == ups {
			out.Partitions += row.GetPartitions() + row.GetOverrides()
			out.InFlight += row.GetInFlight() + row.GetQueued()
		}
	}
	return out
}
