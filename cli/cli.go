// Package cli implements the commands of the magnoliausher binary.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/magnoliausher/magnoliausher/finding"
)

// Exit codes of the binary.
const (
	ExitOK           = 0
	ExitFailure      = 1 // the command failed or a guarantee was violated
	ExitInvalidInput = 2 // the input or the command line has errors
)

// Version is the version of the binary, set by the linker.
var Version = "dev"

const description = `Exit codes: 0 success; 1 the command failed or a guarantee was violated;
2 the input or the command line has errors, all of which are printed.

Examples:
  magnoliausher demo
  magnoliausher dev --listen 127.0.0.1:8080
  magnoliausher check-settings entry.ini
  magnoliausher config check next.json --against current.json
  magnoliausher entry entry.ini
  magnoliausher sheet apply today.csv --entry 10.0.0.1:8080
  magnoliausher jobs create items.jsonl --wait --entry 10.0.0.1:8080
  magnoliausher trace generate --fleet ferreira --day burst --output burst.jsonl
  magnoliausher replay --trace burst.jsonl --fleet ferreira --report burst.html`

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	if len(args) > 1 && args[1] == gatewayName {
		// Until the gateway installs its own handler, SIGHUP would terminate it. The
		// signal only requests a reload of the settings, which are about to be read.
		signal.Ignore(syscall.SIGHUP)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &cli.Command{
		Name:                  "magnoliausher",
		Usage:                 "serve online and batch inference on one fleet",
		Description:           description,
		Version:               Version,
		Writer:                out,
		ErrWriter:             errOut,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands:              commands(),
	}
	setUsageErrorHandler(root)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, err)
	return exitCode(err)
}

// setUsageErrorHandler reports invalid flags of the command and its subcommands
// as usage errors.
func setUsageErrorHandler(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return usageError{fmt.Sprintf("%v; see %s --help", err, c.FullName())}
	}
	for _, sub := range c.Commands {
		setUsageErrorHandler(sub)
	}
}

// usageError reports an invalid command line.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

func exitCode(err error) int {
	var list finding.List
	var usage usageError
	if errors.As(err, &list) || errors.As(err, &usage) {
		return ExitInvalidInput
	}
	return ExitFailure
}

// singleArgument returns the command's only argument. Any other number of
// arguments is a usage error.
func singleArgument(c *cli.Command, argName string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageError{fmt.Sprintf("%s takes exactly one argument: %s", c.FullName(), argName)}
	}
	return c.Args().First(), nil
}

func commands() []*cli.Command {
	return []*cli.Command{
		entryCommand(),
		agentCommand(),
		gatewayCommand(),
		demoCommand(),
		devCommand(),
		checkSettingsCommand(),
		configCommand(),
		keysCommand(),
		replayCommand(),
		traceCommand(),
		sheetCommand(),
		jobsCommand(),
		versionCommand(),
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, "magnoliausher", Version)
			return err
		},
	}
}
