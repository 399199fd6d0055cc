package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/operator"
	operatorclient "github.com/magnoliausher/magnoliausher/operator/client"
	"github.com/magnoliausher/magnoliausher/sheet"
)

const sheetDescription = `Examples:
  magnoliausher sheet check today.csv
  export MAGNOLIAUSHER_KEY=...
  magnoliausher sheet diff today.csv --entry 10.0.0.1:8080
  magnoliausher sheet apply today.csv --entry 10.0.0.1:8080 --entry 10.0.0.2:8080
  magnoliausher sheet status --wait --entry 10.0.0.1:8080`

func sheetCommand() *cli.Command {
	return &cli.Command{
		Name:        "sheet",
		Usage:       "check, apply and follow the operators' sheet",
		Description: sheetDescription,
		Commands:    []*cli.Command{sheetCheck(), sheetApply(), sheetDiff(), sheetHistory(), sheetStatus()},
	}
}

func sheetCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "print all findings of a sheet",
		ArgsUsage: "FILE",
		Description: "Gives row, column, value and reason of each finding, and exits 2 if there are any. Calls no entry.\n\n" +
			"Example:\n  magnoliausher sheet check today.csv",
		Action: func(_ context.Context, c *cli.Command) error {
			file, _, err := readSheet(c)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.Root().Writer, file+": no findings")
			return err
		},
	}
}

// readSheet reads the command's file and checks it.
func readSheet(c *cli.Command) (file string, content []byte, err error) {
	file, err = oneArgument(c, "FILE")
	if err != nil {
		return "", nil, err
	}
	content, err = os.ReadFile(file)
	if err != nil {
		return "", nil, trace.ConvertSystemError(err)
	}
	_, err = sheet.Parse(file, bytes.NewReader(content))
	return file, content, err
}

func sheetApply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a sheet in force",
		ArgsUsage: "FILE",
		Description: "Exits 2 for findings, and 1 with the difference when the sheet is not newer than the one in force\n" +
			"or the base is no longer in force. When the outcome is unknown it prints the change id and the base:\n" +
			"the same command with --change-id and --base settles it.\n\n" +
			"Examples:\n  magnoliausher sheet apply today.csv --entry 10.0.0.1:8080\n" +
			"  magnoliausher sheet apply today.csv --entry 10.0.0.1:8080 --base 41",
		Flags: remoteFlags(
			&cli.Uint64Flag{Name: "base", Usage: "refuse the sheet unless this version is in force; without it, the version in force is the base"},
			&cli.StringFlag{Name: "change-id", Usage: "name of the change; made up if not given"},
		),
		Action: runSheetApply,
	}
}

func runSheetApply(ctx context.Context, c *cli.Command) error {
	file, content, err := readSheet(c)
	if err != nil {
		return err
	}
	client, err := operatorClient(c)
	if err != nil {
		return err
	}
	answer, err := client.Apply(ctx, content, operatorclient.ApplyOptions{
		Base: c.Uint64("base"), HasBase: c.IsSet("base"), ChangeID: c.String("change-id"),
	})
	if err != nil {
		return named(file, err)
	}
	out := c.Root().Writer
	printChanges(out, answer.Difference)
	if answer.ConfirmedBy == 0 {
		fmt.Fprintln(c.Root().ErrWriter, "no other instance has reported the version yet; see sheet status --wait")
	}
	_, err = fmt.Fprintf(out, "version %d accepted (change %s); %d other instances have confirmed it\n",
		answer.Version, answer.ChangeID, answer.ConfirmedBy)
	return err
}

func printChanges(w io.Writer, changes []contract.Change) {
	for _, change := range changes {
		fmt.Fprintln(w, change)
	}
}

func sheetDiff() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "print the changes that a sheet would make",
		ArgsUsage: "FILE",
		Description: "Changes nothing.\n\n" +
			"Example:\n  magnoliausher sheet diff today.csv --entry 10.0.0.1:8080",
		Flags: remoteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			file, content, err := readSheet(c)
			if err != nil {
				return err
			}
			client, err := operatorClient(c)
			if err != nil {
				return err
			}
			answer, err := client.Diff(ctx, content)
			if err != nil {
				return named(file, err)
			}
			return printDiff(c.Root().Writer, answer)
		},
	}
}

func printDiff(out io.Writer, answer *operator.DiffResponse) error {
	printChanges(out, answer.Difference)
	_, err := fmt.Fprintf(out, "%d changes to version %d\n", len(answer.Difference), answer.Version)
	if !answer.Newer {
		fmt.Fprintln(out, "The sheet would be refused: its date and revision are not newer than those in force.")
	}
	if !answer.Confirmed {
		fmt.Fprintln(out, "The platform does not answer, so a newer version may be in force.")
	}
	return err
}

func sheetHistory() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "list the last accepted versions, the newest first",
		Description: "Example:\n  magnoliausher sheet history --limit 5 --entry 10.0.0.1:8080",
		Flags:       remoteFlags(&cli.IntFlag{Name: "limit", Value: 20, Usage: "number of versions"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := operatorClient(c)
			if err != nil {
				return err
			}
			answer, err := client.History(ctx, c.Int("limit"))
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "version\tsheet\trevision\tchange id")
			for _, v := range answer.Versions {
				fmt.Fprintf(table, "%d\t%s\t%d\t%s\n", v.Version, v.SheetDate, v.Revision, v.ChangeID)
			}
			return table.Flush()
		},
	}
}

const (
	statusPause   = 500 * time.Millisecond
	statusTimeout = time.Minute
)

func sheetStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the versions in force over all instances",
		Description: "With --wait it returns when all instances have the newest version, and exits 1 after --timeout.\n\n" +
			"Examples:\n  magnoliausher sheet status --entry 10.0.0.1:8080\n" +
			"  magnoliausher sheet status --wait --version 42 --entry 10.0.0.1:8080",
		Flags: remoteFlags(
			&cli.BoolFlag{Name: "wait", Usage: "wait until all instances have the newest version"},
			&cli.Uint64Flag{Name: "version", Usage: "wait for at least this version"},
			&cli.DurationFlag{Name: "timeout", Value: statusTimeout, Usage: "of --wait"},
		),
		Action: runSheetStatus,
	}
}

// errNotEverywhere says that --wait ended before all instances had the version.
var errNotEverywhere = errors.New("not all instances have the newest version")

func runSheetStatus(ctx context.Context, c *cli.Command) error {
	client, err := operatorClient(c)
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if !c.Bool("wait") {
		return printStatus(out, status)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	tick := time.NewTicker(statusPause)
	defer tick.Stop()
	for !status.Converged(c.Uint64("version")) {
		select {
		case <-ctx.Done():
			return errors.Join(printStatus(out, status), errNotEverywhere)
		case <-tick.C:
		}
		// An entry that fails meanwhile is left for the next one; the last status stays.
		if next, err := client.Status(ctx); err == nil {
			status = next
		}
	}
	return printStatus(out, status)
}

func printStatus(out io.Writer, s *operator.Status) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "newest version\t%d\n", s.Newest)
	fmt.Fprintf(table, "lowest version\t%d\n", s.Lowest)
	for _, count := range s.Counts {
		fmt.Fprintf(table, "instances at version %d\t%d\n", count.Version, count.Instances)
	}
	if len(s.Behind) > 0 {
		fmt.Fprintf(table, "behind\t%s\n", strings.Join(s.Behind, " "))
	}
	if len(s.NeverHeard) > 0 {
		fmt.Fprintf(table, "never heard from\t%s\n", strings.Join(s.NeverHeard, " "))
	}
	if s.PossiblyStale {
		fmt.Fprintf(table, "this entry\tpossibly stale: no source has confirmed its version %d for 6 s\n", s.Entry)
	}
	if !s.Confirmed {
		fmt.Fprintln(table, "platform\tdoes not answer, so a newer version may have been accepted")
	}
	return table.Flush()
}
