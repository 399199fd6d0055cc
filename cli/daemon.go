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
		Usage:       "run the process that callers and operators talk to",
		ArgsUsage:   "SETTINGS",
		Description: "SIGTERM or SIGINT starts a graceful shutdown: new requests are refused as not run, those in progress finish.",
		Action: func(ctx context.Context, c *cli.Command) error {
			file, err := oneArgument(c, "SETTINGS")
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
		Usage:       "run the process beside one upstream",
		ArgsUsage:   "SETTINGS",
		Description: "SIGTERM or SIGINT starts a graceful shutdown: new work is refused as not run, online work in progress finishes, batch work is given back.",
		Action: func(ctx context.Context, c *cli.Command) error {
			file, err := oneArgument(c, "SETTINGS")
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
