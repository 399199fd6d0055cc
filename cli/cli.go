// Package cli holds the commands of the magnoliausher binary.
package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	_ "github.com/magnoliausher/magnoliausher/metric"
)

// Exit codes of the binary.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the command ran and failed, or a promise was broken
	ExitFindings = 2 // the input has findings
)

// Version of the binary, set by the linker.
var Version = "dev"

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	root := &cli.Command{
		Name:                  "magnoliausher",
		Usage:                 "serve online and batch inference on one fleet",
		Version:               Version,
		EnableShellCompletion: true,
		Commands:              []*cli.Command{},
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
	if err := root.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailure
	}
	return ExitOK
}
