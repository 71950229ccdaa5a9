package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
)

// readyPollInterval is the time between two readiness checks.
const readyPollInterval = 50 * time.Millisecond

func init() { register("", newReady) }

func newReady() *cobra.Command {
	lim, own := time.Duration(0), false
	cmd := &cobra.Command{
		Use:     "ready [ADMIN_ADDRESS...]",
		Short:   "Wait until processes are ready",
		Long:    "Polls the admin API at each address, or at --admin, until all are ready. A control process is ready when it knows the leader, an agent when it has a lease and a backend server.",
		Example: "  siskinrill ready 127.0.0.1:18111 127.0.0.1:18261 --timeout 10s --owners",
		RunE: action(func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				adm, _ := cmd.Flags().GetString("admin")
				args = []string{adm}
			}
			return runReady(cmd, args, lim, own)
		}),
	}
	cmd.Flags().DurationVar(&lim, "timeout", 10*time.Second, "how long to wait")
	cmd.Flags().BoolVar(&own, "owners", false, "also wait until every partition of every service has an owner")
	return cmd
}

func runReady(cmd *cobra.Command, adrs []string, lim time.Duration, own bool) error {
	tok, _ := cmd.Flags().GetString("token")
	ctx, cancel := context.WithTimeout(cmd.Context(), lim)
	defer cancel()
	for _, adr := range adrs {
		cli := adminhttp.NewClient(adr, tok)
		if err := pollUntil(ctx, func() error { return checkReady(ctx, cli) }); err != nil {
			return errors.Wrap(err, adr)
		}
	}
	if own {
		cli := adminhttp.NewClient(adrs[0], tok)
		if err := pollUntil(ctx, func() error { return checkOwners(ctx, cli) }); err != nil {
			return err
		}
	}
	fmt.Fprintln(textOut(cmd), "ready")
	return nil
}

// pollUntil calls fn until it returns nil or the context ends, and then returns the last error of fn.
func pollUntil(ctx context.Context, fn func() error) error {
	last := errors.New("timed out before the first check")
	for ctx.Err() == nil {
		err := fn()
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
		case <-time.After(readyPollInterval):
		}
	}
	return last
}

func checkReady(ctx context.Context, cli *adminhttp.Client) error {
	rdy, err := cli.Ready(ctx)
	if err != nil {
		return err
	}
	if !rdy.Ready {
		return errors.Errorf("%s %s is not ready: %s", rdy.Role, rdy.Name, rdy.Reason)
	}
	return nil
}

func checkOwners(ctx context.Context, cli *adminhttp.Client) error {
	sta, err := cli.Status(ctx)
	if err != nil {
		return err
	}
	for _, svc := range sta.GetServices() {
		if svc.GetOrphans() > 0 {
			return errors.Errorf("service %s has %d partitions without an owner", svc.GetService(), svc.GetOrphans())
		}
	}
	return nil
}
