package cli

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/magnoliausher/magnoliausher/daemon"
	"github.com/magnoliausher/magnoliausher/platform"
	"github.com/magnoliausher/magnoliausher/settings"
)

// gatewayName is the name of the gateway command.
const gatewayName = "gateway"

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:      gatewayName,
		Usage:     "run a gateway, which forwards requests directly to upstreams",
		ArgsUsage: "[SETTINGS]",
		Description: "Without an argument the path of the settings file is taken from " + platform.SettingsVariable + ". " +
			"SIGHUP or a change of the file reloads it. SIGTERM or SIGINT starts a graceful shutdown.",
		Action: func(ctx context.Context, c *cli.Command) error {
			file := os.Getenv(platform.SettingsVariable)
			if c.Args().Len() > 0 || file == "" {
				var err error
				if file, err = singleArgument(c, "SETTINGS"); err != nil {
					return err
				}
			}
			s, err := settings.LoadGateway(file)
			if err != nil {
				return err
			}
			g, err := daemon.NewGateway(file, s)
			if err != nil {
				return err
			}
			return g.Run(ctx)
		},
	}
}
