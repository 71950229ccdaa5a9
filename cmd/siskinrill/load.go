package main

import (
	"io"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/siskinrill/siskinrill/internal/bench/load"
	"github.com/siskinrill/siskinrill/internal/config/settings"
)

func init() { register("", newLoad) }

// loadFlags are the flags of load that load.Options does not contain.
type loadFlags struct {
	settings        string
	output          string
	latencyPlot     string
	unavailablePlot string
}

func newLoad() *cobra.Command {
	var opt load.Options
	var flg loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests at a fixed rate and check the answers against the stand-ins' ledgers",
		Long: `Sends requests at a fixed rate regardless of the answers (open loop), measures
latency from the intended send time, and compares the answers that callers got
with the ledgers of the stand-ins. Exit status 1 if a promise is broken.`,
		Example: `  siskinrill load --settings examples/rangsudhar/settings --mix rangsudhar --rate 1000 --duration 30s
  siskinrill load --target http://127.0.0.1:8480 --mix rangsudhar --rate 200
  siskinrill load --settings examples/bassma/settings --mix bassma --shift 20s --json --plot-latency latency.svg`,
		Args: cobra.NoArgs,
		RunE: action(func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, opt, flg) }),
	}
	set := cmd.Flags()
	set.StringSliceVar(&opt.Targets, "target", nil, "base URL of an entry agent, repeatable")
	set.StringSliceVar(&opt.Standins, "standin", nil, "base URL of a stand-in whose ledger is checked, repeatable")
	set.StringSliceVar(&opt.Direct, "direct-target", nil, "base URL of a stand-in that receives requests directly, repeatable")
	set.StringSliceVar(&opt.LedgerFiles, "ledger-file", nil, "ledger file of a stand-in that may have been killed, repeatable")
	set.StringVar(&flg.settings, "settings", "", "directory of settings files that name the targets and stand-ins")
	set.StringVar(&opt.Mix, "mix", "rangsudhar", "workload: rangsudhar or bassma")
	set.StringVar(&opt.OnlyKind, "only", "", "only requests of this kind: idempotent, non_idempotent or upload")
	set.Float64Var(&opt.Rate, "rate", load.DefaultRate, "requests per second")
	set.DurationVar(&opt.Duration, "duration", load.DefaultDuration, "how long requests are sent")
	set.DurationVar(&opt.Timeout, "timeout", load.DefaultTimeout, "deadline of a request")
	set.DurationVar(&opt.ClientDelay, "client-delay", 0, "simulated one-way network delay between callers and the entry agent, such as 8ms for rangsudhar and 3ms for bassma")
	set.IntVar(&opt.Keys, "keys", load.DefaultKeys, "number of keys of each service")
	set.Float64Var(&opt.Zipf, "zipf", load.DefaultZipf, "exponent of the Zipf distribution of keys, greater than 1")
	set.DurationVar(&opt.ShiftEvery, "shift", 0, "interval at which the hottest keys change, 0 for never")
	set.IntVar(&opt.HotKeys, "hot-keys", load.DefaultHotKeys, "how many of the hottest keys change")
	set.IntVar(&opt.UploadBytes, "upload-bytes", load.DefaultUploadBytes, "size of an upload in bytes")
	set.IntVar(&opt.AnswerBytes, "answer-bytes", load.DefaultAnswerBytes, "size of the padding of an answer in bytes")
	set.BoolVar(&opt.ResendUnknown, "resend", false, "resend a non-idempotent request of unknown outcome once with its Idempotency-Key")
	set.IntVar(&opt.Pipeline, "pipeline", 0, "number of idempotent requests that are sent ahead on a connection before the first is answered")
	set.BoolVar(&opt.NeedComplete, "need-complete", false, "count a request without a complete answer as a broken promise")
	set.Float64Var(&opt.DirectShare, "direct", 0, "share of idempotent requests sent to a stand-in directly, for comparison")
	set.Uint64Var(&opt.Seed, "seed", 1, "seed of the workload")
	set.StringVar(&flg.output, "output", "", "file for the JSON report")
	set.StringVar(&flg.latencyPlot, "plot-latency", "", "file for a plot of latency, .svg or .png")
	set.StringVar(&flg.unavailablePlot, "plot-unavailable", "", "file for a plot of unavailable time, .svg or .png")
	return cmd
}

func runLoad(cmd *cobra.Command, opt load.Options, flg loadFlags) error {
	if flg.settings != "" {
		if err := addProcesses(&opt, flg.settings); err != nil {
			return err
		}
	}
	rep, err := load.Run(cmd.Context(), opt)
	if err != nil {
		return err
	}
	if err := writeReport(cmd, rep, flg); err != nil {
		return err
	}
	if !rep.PromisesKept {
		return errors.Errorf("%d promises were broken, the first by request %s", len(rep.Violations), rep.Violations[0].Request)
	}
	return nil
}

func writeReport(cmd *cobra.Command, rep *load.Report, flg loadFlags) error {
	write := rep.WriteTable
	if asJSON(cmd) {
		write = rep.WriteJSON
	}
	if err := write(cmd.OutOrStdout()); err != nil {
		return err
	}
	for nam, wrt := range map[string]func(string) error{
		flg.output:          func(nam string) error { return writeFile(nam, rep.WriteJSON) },
		flg.latencyPlot:     rep.PlotLatency,
		flg.unavailablePlot: rep.PlotUnavailable,
	} {
		if nam == "" {
			continue
		}
		if err := wrt(nam); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(nam string, wrt func(io.Writer) error) error {
	fil, err := os.Create(nam)
	if err != nil {
		return errors.Wrap(err, "create report")
	}
	if err := wrt(fil); err != nil {
		_ = fil.Close()
		return err
	}
	return fil.Close()
}

// addProcesses adds the agents and stand-ins of a settings directory with files named ROLE-NAME.toml.
func addProcesses(opt *load.Options, dir string) error {
	agents, err := filepath.Glob(filepath.Join(dir, "agent-*.toml"))
	if err != nil {
		return errors.Wrap(err, "list settings")
	}
	for _, fil := range agents {
		set, err := settings.LoadAgent(fil)
		if err != nil {
			return err
		}
		opt.Targets = append(opt.Targets, "http://"+set.CallerListen)
	}
	standins, err := filepath.Glob(filepath.Join(dir, "standin-*.toml"))
	if err != nil {
		return errors.Wrap(err, "list settings")
	}
	for _, fil := range standins {
		set, err := settings.LoadStandin(fil)
		if err != nil {
			return err
		}
		opt.Standins = append(opt.Standins, "http://"+set.Listen)
		if set.Service == load.DirectService(opt.Mix) {
			opt.Direct = append(opt.Direct, "http://"+set.Listen)
		}
	}
	return nil
}
