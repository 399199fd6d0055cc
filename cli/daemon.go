package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/magnoliausher/magnoliausher/daemon"
	"github.com/magnoliausher/magnoliausher/settings"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run an entry, which serves callers and operators",
		ArgsUsage:   "SETTINGS",
		Description: "SIGTERM or SIGINT starts a graceful shutdown: new requests are rejected as not executed, and those in progress finish.",
		Action: func(ctx context.Context, c *cli.Command) error {
			file, err := singleArgument(c, "SETTINGS")
			if err != nil {
				return err
			}
			s, err := settings.LoadEntry(file)
			if err != nil {
				return err
			}
			logger, err := daemon.NewLogger(s.Log, s.Instance)
			if err != nil {
				return err
			}
			d, err := daemon.NewEntry(s, logger)
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:        "agent",
		Usage:       "run the agent of one upstream",
		ArgsUsage:   "SETTINGS",
		Description: "SIGTERM or SIGINT starts a graceful shutdown: new work is rejected as not executed, online work in progress finishes, and batch work is returned.",
		Action: func(ctx context.Context, c *cli.Command) error {
			file, err := singleArgument(c, "SETTINGS")
			if err != nil {
				return err
			}
			s, err := settings.LoadAgent(file)
			if err != nil {
				return err
			}
			logger, err := daemon.NewLogger(s.Log, s.Instance)
			if err != nil {
				return err
			}
			d, err := daemon.NewAgent(s, logger)
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
}
