// Command siskinrill routes requests to backend servers that own keys exclusively.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
	"github.com/siskinrill/siskinrill/internal/config/settings"
)

// Exit statuses of success, of a command that failed or was refused, and of a wrong command line.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// commandError marks an error of a command whose arguments were valid, such as a refused change or an invalid file.
type commandError struct{ err error }

func (cme *commandError) Error() string { return cme.err.Error() }

func (cme *commandError) Unwrap() error { return cme.err }

// constructors maps the name of a parent command, empty for the root, to the constructors of its subcommands.
var constructors = map[string][]func() *cobra.Command{}

// register adds the constructor of a subcommand; each command's file calls it from init.
func register(parent string, fn func() *cobra.Command) {
	constructors[parent] = append(constructors[parent], fn)
}

// action wraps the body of a command, so that its errors lead to exit status 1 and those of cobra itself to 2.
func action(fn func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := fn(cmd, args); err != nil {
			return &commandError{err: err}
		}
		return nil
	}
}

// newGroup returns a command that has subcommands and does nothing itself.
func newGroup(nam, sht string) *cobra.Command {
	return &cobra.Command{
		Use: nam, Short: sht, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return fmt.Errorf("%s needs a subcommand; see siskinrill %s --help", nam, nam)
		},
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "siskinrill",
		Short:         "Routes requests to backend servers that own keys exclusively",
		Version:       version(),
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE:          func(*cobra.Command, []string) error { return errors.New("a command is needed; see siskinrill --help") },
	}
	pfl := root.PersistentFlags()
	pfl.String("admin", settings.DefaultAdmin, "IP:port of the admin API to query, or that dev serves")
	pfl.String("token", os.Getenv("SISKINRILL_TOKEN"), "bearer token of the admin API (default $SISKINRILL_TOKEN)")
	pfl.Bool("json", false, "print JSON")
	addSubcommands(root, "")
	return root
}

func addSubcommands(cmd *cobra.Command, parent string) {
	for _, fn := range constructors[parent] {
		sub := fn()
		addSubcommands(sub, sub.Name())
		cmd.AddCommand(sub)
	}
}

func version() string {
	inf, fnd := debug.ReadBuildInfo()
	if !fnd {
		return "unknown"
	}
	out := inf.Main.Version
	for _, set := range inf.Settings {
		if set.Key == "vcs.revision" {
			out += " " + set.Value
		}
	}
	return out + " " + inf.GoVersion
}

// client returns a client of the admin API at --admin that sends --token.
func client(cmd *cobra.Command) *adminhttp.Client {
	adr, _ := cmd.Flags().GetString("admin")
	tok, _ := cmd.Flags().GetString("token")
	return adminhttp.NewClient(adr, tok)
}

func asJSON(cmd *cobra.Command) bool {
	out, _ := cmd.Flags().GetBool("json")
	return out
}

// execute runs the command line and returns the exit status.
func execute(ctx context.Context, args []string, root *cobra.Command) int {
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitSuccess
	}
	fmt.Fprintf(root.ErrOrStderr(), "siskinrill: %v\n", err)
	var cme *commandError
	if errors.As(err, &cme) {
		return exitFailure
	}
	return exitUsage
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// A second signal ends the process immediately, even during a long drain.
	context.AfterFunc(ctx, stop)
	os.Exit(execute(ctx, os.Args[1:], newRoot()))
}
