package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/magnoliausher/magnoliausher/settings"
)

func checkSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:        "check-settings",
		Usage:       "check the settings file of an entry, agent or gateway",
		ArgsUsage:   "FILE",
		Description: "Prints all findings with file, line, section and key, and exits 2 if there are any.\nThe key role in the section [instance] determines the kind of file.",
		Action: func(_ context.Context, c *cli.Command) error {
			file, err := singleArgument(c, "FILE")
			if err != nil {
				return err
			}
			notes, err := settings.Check(file)
			if err != nil {
				return err
			}
			for _, note := range notes {
				if _, err := fmt.Fprintln(c.Root().Writer, file+": note: "+note); err != nil {
					return err
				}
			}
			_, err = fmt.Fprintln(c.Root().Writer, file+": no findings")
			return err
		},
	}
}
