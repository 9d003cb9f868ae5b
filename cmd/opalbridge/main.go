// Command opalbridge contains all programs of the project: the router for entry hosts, the
// agent that runs beside each backend server, the gateway, which needs no agents, the
// operators' client, a checker for settings files, and a complete fleet in one process for
// trying it out.
//
// # Usage
//
//	opalbridge dev --listen 127.0.0.1:8080
//	opalbridge router --settings router.yaml
//	opalbridge agent --settings agent.yaml
//	opalbridge gateway --settings gateway.yaml
//	opalbridge check --role router router.yaml
//	opalbridge quarantine list --store 10.200.1.7:8781
//	opalbridge ctl status
//
// See docs/operators for a description of each command.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// version is the release this binary was built from.
const version = "0.1.0"

// Exit codes.
const (
	exitFailure  = 1 // runtime failure
	exitUsage    = 2 // invalid arguments or settings
	exitConflict = 3 // another operator changed the configuration first
	exitUnknown  = 4 // unknown whether a change was accepted
)

func main() {
	receiveHangups(os.Args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := rootCommand().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "opalbridge:", err)
		os.Exit(exitCode(err))
	}
}

// failure is an error with an exit code.
type failure struct {
	code int
	err  error
}

// Error implements error.
func (f *failure) Error() string { return f.err.Error() }

// Unwrap returns the wrapped error.
func (f *failure) Unwrap() error { return f.err }

func exitCode(err error) int {
	var f *failure
	if errors.As(err, &f) {
		return f.code
	}
	return exitFailure
}

func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &failure{code: exitUsage, err: err}
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "opalbridge",
		Usage:                 "share language-model capacity fairly among client accounts",
		Version:               version,
		EnableShellCompletion: true,
		Suggest:               true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usageError(err)
		},
		Commands: []*cli.Command{
			devCommand(), routerCommand(), agentCommand(), gatewayCommand(), explainCommand(), accountingCommand(), quarantineCommand(), checkCommand(), ctlCommand(), hashCommand(), standinCommand(), versionCommand(),
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version and what it was built with",
		Action: func(_ context.Context, c *cli.Command) error {
			revision := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = s.Value
					}
				}
			}
			_, err := fmt.Fprintf(c.Root().Writer, "opalbridge %s (revision %s, %s %s/%s)\n", version, revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return err
		},
	}
}
