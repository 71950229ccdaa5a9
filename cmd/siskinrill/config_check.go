package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
	"github.com/siskinrill/siskinrill/internal/config/file"
	"github.com/siskinrill/siskinrill/internal/config/source"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// againstCurrent is the value of --against for the configuration that is in force.
const againstCurrent = "current"

type checkFlags struct {
	strict  bool
	against string
}

// checkReport is the JSON output of config check.
type checkReport struct {
	Valid         bool             `json:"valid"`
	Errors        []checkMessage   `json:"errors"`
	Warnings      []checkMessage   `json:"warnings"`
	Against       *checkComparison `json:"against"`
	Configuration json.RawMessage  `json:"configuration"`
}

type checkMessage struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

// checkComparison is the difference to another configuration; the number is 0 for a directory.
type checkComparison struct {
	Name       string       `json:"name"`
	Number     uint64       `json:"number"`
	Difference string       `json:"difference"`
	Fixed      []checkFixed `json:"fixed"`
}

type checkFixed struct {
	Source  string `json:"source"`
	Service string `json:"service"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

func init() { register("config", newConfigCheck) }

func newConfigCheck() *cobra.Command {
	var flg checkFlags
	cmd := &cobra.Command{
		Use:   "check DIR",
		Short: "Check a configuration directory and list every error and warning",
		Long: "Lists every error or, if there is none, warnings: entries without effect and limits that contradict each other.\n" +
			"With --against it also shows the difference to another configuration, and what of it is refused because it is fixed.",
		Example: "  siskinrill config check examples/rangsudhar/config\n" +
			"  siskinrill config check DIR --strict --against current\n" +
			"  siskinrill config check DIR --against DIR2",
		Args: cobra.ExactArgs(1),
		RunE: action(func(cmd *cobra.Command, args []string) error { return runCheck(cmd, args[0], flg) }),
	}
	cmd.Flags().BoolVar(&flg.strict, "strict", false, "exit with status 1 if there are warnings or refused changes")
	cmd.Flags().StringVar(&flg.against, "against", "", "show the difference to the configuration in force (current) or to that of another directory")
	return cmd
}

func runCheck(cmd *cobra.Command, dir string, flg checkFlags) error {
	fils, err := file.Read(dir)
	if err != nil {
		return err
	}
	cfg, wrns, err := file.Check(fils)
	if err != nil {
		return printInvalid(cmd, err)
	}
	cmp, err := compareWith(cmd, flg.against, cfg)
	if err != nil {
		return err
	}
	if err := printCheck(cmd, cfg, wrns, cmp); err != nil {
		return err
	}
	refused := 0
	if cmp != nil {
		refused = len(cmp.Fixed)
	}
	if flg.strict && len(wrns)+refused > 0 {
		return errors.Errorf("%d warnings, %d refused changes", len(wrns), refused)
	}
	return nil
}

// compareWith returns the difference to the configuration that --against names, nil if it names none.
func compareWith(cmd *cobra.Command, against string, cfg *controlpb.Configuration) (*checkComparison, error) {
	if against == "" {
		return nil, nil
	}
	old, err := otherConfiguration(cmd, against)
	if err != nil {
		return nil, errors.Wrapf(err, "compare with %s", against)
	}
	cmp := &checkComparison{Name: against, Number: old.GetNumber(), Difference: file.Difference(old, cfg), Fixed: []checkFixed{}}
	for _, fix := range file.FixedChanges(old, cfg) {
		cmp.Fixed = append(cmp.Fixed, checkFixed{Source: fix.Source(), Service: fix.Service(), Key: fix.Key(), Message: fix.String()})
	}
	return cmp, nil
}

func otherConfiguration(cmd *cobra.Command, against string) (*controlpb.Configuration, error) {
	if against != againstCurrent {
		return file.Load(against)
	}
	ans, err := client(cmd).Show(cmd.Context())
	if err != nil {
		return nil, err
	}
	return ans.GetConfiguration(), nil
}

// printInvalid prints the errors of a configuration with --json and returns them, as text is printed with every error.
func printInvalid(cmd *cobra.Command, err error) error {
	var pbe *source.ProblemsError
	if !asJSON(cmd) || !errors.As(err, &pbe) {
		return err
	}
	if out := printReport(cmd, &checkReport{Errors: messages(pbe.Problems()), Warnings: []checkMessage{}}); out != nil {
		return out
	}
	return err
}

func printCheck(cmd *cobra.Command, cfg *controlpb.Configuration, wrns []*source.Problem, cmp *checkComparison) error {
	if !asJSON(cmd) {
		printCheckText(cmd.OutOrStdout(), cfg, wrns, cmp)
		return nil
	}
	dat, err := adminhttp.Marshal(cfg)
	if err != nil {
		return err
	}
	return printReport(cmd, &checkReport{Valid: true, Errors: []checkMessage{}, Warnings: messages(wrns), Against: cmp, Configuration: dat})
}

func printCheckText(out io.Writer, cfg *controlpb.Configuration, wrns []*source.Problem, cmp *checkComparison) {
	for _, wrn := range wrns {
		fmt.Fprintf(out, "warning: %v\n", wrn)
	}
	fmt.Fprintf(out, "valid: %d services, %d routes, %d warnings\n", len(cfg.GetServices()), len(cfg.GetRoutes()), len(wrns))
	if cmp == nil {
		return
	}
	nam := cmp.Name
	if cmp.Number > 0 {
		nam = fmt.Sprintf("configuration %d", cmp.Number)
	}
	if cmp.Difference == "" {
		fmt.Fprintf(out, "no difference to %s\n", nam)
		return
	}
	fmt.Fprintf(out, "difference to %s:\n%s", nam, cmp.Difference)
	for _, fix := range cmp.Fixed {
		fmt.Fprintf(out, "note: %s\n", fix.Message)
	}
}

func printReport(cmd *cobra.Command, rep *checkReport) error {
	dat, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s\n", dat)
	return err
}

func messages(prbs []*source.Problem) []checkMessage {
	out := []checkMessage{}
	for _, prb := range prbs {
		out = append(out, checkMessage{File: prb.Position().File(), Line: prb.Position().Line(), Key: prb.Key(), Message: prb.Message()})
	}
	return out
}
