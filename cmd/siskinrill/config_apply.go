package main

import (
	"context"
	"fmt"
	"io"
	"os/user"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
	"github.com/siskinrill/siskinrill/internal/config/file"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

type applyFlags struct {
	number   uint64
	changeID string
	wait     bool
	timeout  time.Duration
	dryRun   bool
}

func init() { register("config", newConfigApply) }

func newConfigApply() *cobra.Command {
	var flg applyFlags
	cmd := &cobra.Command{
		Use:   "apply DIR",
		Short: "Show the difference to a configuration directory and apply it",
		Long: "Shows what the directory changes and submits it under the next number. Of several changes with the same number exactly one is accepted.\n" +
			"If no answer arrives, resend with the same --number and --change-id to get the outcome of the first request.",
		Example: "  siskinrill config apply examples/rangsudhar/config --wait\n" +
			"  siskinrill config apply DIR --number 8 --change-id 5f0c... # a resend",
		Args: cobra.ExactArgs(1),
		RunE: action(func(cmd *cobra.Command, args []string) error { return runApply(cmd, args[0], flg) }),
	}
	cmd.Flags().Uint64Var(&flg.number, "number", 0, "number of the configuration (default the current number + 1)")
	cmd.Flags().StringVar(&flg.changeID, "change-id", "", "id of the change, for a resend (default a random one)")
	cmd.Flags().BoolVar(&flg.wait, "wait", false, "wait until the configuration is in force on every agent, and list the agents that lag")
	cmd.Flags().DurationVar(&flg.timeout, "timeout", 14*time.Second, "time limit of --wait")
	cmd.Flags().BoolVar(&flg.dryRun, "dry-run", false, "only show the difference")
	return cmd
}

func runApply(cmd *cobra.Command, dir string, flg applyFlags) error {
	cfg, err := file.Load(dir)
	if err != nil {
		return err
	}
	cli := client(cmd)
	cur, err := cli.Show(cmd.Context())
	if err != nil {
		return err
	}
	dif := file.Difference(cur.GetConfiguration(), cfg)
	txt := textOut(cmd)
	fmt.Fprint(txt, dif)
	resend := flg.number != 0 || flg.changeID != ""
	if dif == "" && !resend {
		fmt.Fprintf(txt, "no difference to configuration %d\n", cur.GetConfiguration().GetNumber())
		return printUnchanged(cmd, cur)
	}
	if flg.dryRun {
		return printUnchanged(cmd, cur)
	}
	cfg.Number = flg.number
	if cfg.GetNumber() == 0 {
		cfg.Number = cur.GetConfiguration().GetNumber() + 1
	}
	return submit(cmd, cli, newApplyRequest(cfg, flg))
}

// textOut returns the writer for text, which discards it with --json because that output is a single document.
func textOut(cmd *cobra.Command) io.Writer {
	if asJSON(cmd) {
		return io.Discard
	}
	return cmd.OutOrStdout()
}

// printUnchanged prints the current configuration with --json, for an apply that changes nothing.
func printUnchanged(cmd *cobra.Command, cur *controlpb.ShowAnswer) error {
	if !asJSON(cmd) {
		return nil
	}
	return printJSON(cmd.OutOrStdout(), cur)
}

func newApplyRequest(cfg *controlpb.Configuration, flg applyFlags) *controlpb.ApplyRequest {
	req := &controlpb.ApplyRequest{ChangeId: flg.changeID, Configuration: cfg}
	if req.GetChangeId() == "" {
		req.ChangeId = uuid.NewString()
	}
	if usr, err := user.Current(); err == nil {
		req.Operator = usr.Username
	}
	if flg.wait {
		req.WaitMs = uint32(flg.timeout / time.Millisecond)
	}
	return req
}

func submit(cmd *cobra.Command, cli *adminhttp.Client, req *controlpb.ApplyRequest) error {
	num, cid := req.GetConfiguration().GetNumber(), req.GetChangeId()
	ctx, cancel := context.WithTimeout(cmd.Context(), time.Duration(req.GetWaitMs())*time.Millisecond+10*time.Second)
	defer cancel()
	ans, err := cli.Apply(ctx, req)
	if err != nil {
		return errors.Wrapf(err, "no answer, resend with --number %d --change-id %s", num, cid)
	}
	if asJSON(cmd) {
		if err := printJSON(cmd.OutOrStdout(), ans); err != nil {
			return err
		}
	}
	return printResult(textOut(cmd), req, ans)
}

// printResult prints the answer and returns an error if the change was refused or is not yet in force on every agent.
func printResult(out io.Writer, req *controlpb.ApplyRequest, ans *controlpb.ApplyAnswer) error {
	rec := ans.GetRecord()
	if !rec.GetAccepted() {
		msg := fmt.Sprintf("configuration %d was refused: %s", rec.GetNumber(), rec.GetReason())
		if rec.GetWinner() != "" {
			msg += ", change " + rec.GetWinner() + " has the number"
		}
		return errors.New(msg)
	}
	fmt.Fprintf(out, "accepted: configuration %d, change %s, log index %d\n", rec.GetNumber(), rec.GetChangeId(), rec.GetIndex())
	if req.GetWaitMs() == 0 {
		return nil
	}
	if !ans.GetInForce() {
		return errors.Errorf("configuration %d is not yet in force on %s", rec.GetNumber(), strings.Join(ans.GetLagging(), ", "))
	}
	fmt.Fprintln(out, "in force on every agent")
	return nil
}
