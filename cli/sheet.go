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
		Usage:       "check and apply the operators' sheet and track its rollout",
		Description: sheetDescription,
		Commands:    []*cli.Command{sheetCheck(), sheetApply(), sheetDiff(), sheetHistory(), sheetStatus()},
	}
}

func sheetCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "print all findings of a sheet",
		ArgsUsage: "FILE",
		Description: "Prints row, column, value and reason of each finding, and exits 2 if there are any. Does not call an entry.\n\n" +
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

// readSheet reads and validates the file given on the command line.
func readSheet(c *cli.Command) (file string, content []byte, err error) {
	file, err = singleArgument(c, "FILE")
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
		Usage:     "apply a sheet",
		ArgsUsage: "FILE",
		Description: "Exits 2 if the sheet has findings, and 1 with the difference if it is not newer than the active sheet\n" +
			"or the base is no longer the active version. If the outcome is unknown, it prints the change id and the base;\n" +
			"repeating the command with these as --change-id and --base determines the outcome.\n\n" +
			"Examples:\n  magnoliausher sheet apply today.csv --entry 10.0.0.1:8080\n" +
			"  magnoliausher sheet apply today.csv --entry 10.0.0.1:8080 --base 41",
		Flags: remoteFlags(
			&cli.Uint64Flag{Name: "base", Usage: "reject the sheet unless this version is active; defaults to the active version"},
			&cli.StringFlag{Name: "change-id", Usage: "id of the change; generated if not given"},
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
	response, err := client.Apply(ctx, content, operatorclient.ApplyOptions{
		Base: c.Uint64("base"), HasBase: c.IsSet("base"), ChangeID: c.String("change-id"),
	})
	if err != nil {
		return withFileName(file, err)
	}
	out := c.Root().Writer
	printChanges(out, response.Difference)
	if response.ConfirmedBy == 0 {
		fmt.Fprintln(c.Root().ErrWriter, "no other instance has reported the version yet; see sheet status --wait")
	}
	_, err = fmt.Fprintf(out, "version %d accepted (change %s); %d other instances have confirmed it\n",
		response.Version, response.ChangeID, response.ConfirmedBy)
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
			response, err := client.Diff(ctx, content)
			if err != nil {
				return withFileName(file, err)
			}
			return printDiff(c.Root().Writer, response)
		},
	}
}

func printDiff(out io.Writer, diff *operator.DiffResponse) error {
	printChanges(out, diff.Difference)
	_, err := fmt.Fprintf(out, "%d changes to version %d\n", len(diff.Difference), diff.Version)
	if !diff.Newer {
		fmt.Fprintln(out, "The sheet would be refused: its date and revision are not newer than those in force.")
	}
	if !diff.Confirmed {
		fmt.Fprintln(out, "The platform does not answer, so a newer version may be in force.")
	}
	return err
}

func sheetHistory() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "list the last accepted versions, newest first",
		Description: "Example:\n  magnoliausher sheet history --limit 5 --entry 10.0.0.1:8080",
		Flags:       remoteFlags(&cli.IntFlag{Name: "limit", Value: 20, Usage: "number of versions"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := operatorClient(c)
			if err != nil {
				return err
			}
			response, err := client.History(ctx, c.Int("limit"))
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "version\tsheet\trevision\tchange id")
			for _, v := range response.Versions {
				fmt.Fprintf(table, "%d\t%s\t%d\t%s\n", v.Version, v.SheetDate, v.Revision, v.ChangeID)
			}
			return table.Flush()
		},
	}
}

const (
	statusPollInterval   = 500 * time.Millisecond
	defaultStatusTimeout = time.Minute
)

func sheetStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the configuration versions of all instances",
		Description: "With --wait, returns once all instances have the newest version, or exits 1 after --timeout.\n\n" +
			"Examples:\n  magnoliausher sheet status --entry 10.0.0.1:8080\n" +
			"  magnoliausher sheet status --wait --version 42 --entry 10.0.0.1:8080",
		Flags: remoteFlags(
			&cli.BoolFlag{Name: "wait", Usage: "wait until all instances have the newest version"},
			&cli.Uint64Flag{Name: "version", Usage: "wait for at least this version"},
			&cli.DurationFlag{Name: "timeout", Value: defaultStatusTimeout, Usage: "time limit of --wait"},
		),
		Action: runSheetStatus,
	}
}

// errRolloutIncomplete is returned when --wait times out before all instances have
// the version.
var errRolloutIncomplete = errors.New("not all instances have the newest version")

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
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	for !status.Converged(c.Uint64("version")) {
		select {
		case <-ctx.Done():
			return errors.Join(printStatus(out, status), errRolloutIncomplete)
		case <-ticker.C:
		}
		// After an error the HTTP client uses the next entry; the last status is kept.
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
