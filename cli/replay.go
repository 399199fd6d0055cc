package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/magnoliausher/magnoliausher/replay"
	"github.com/magnoliausher/magnoliausher/workload"
)

const defaultTraceDuration = 10 * time.Minute

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "replay a trace in virtual time on simulated engines",
		Description: "Simulates the decisions of entries and agents on a trace and prints the result as one line of JSON\n" +
			"at the end. Exits 1 if a required outcome is missed, 2 if the input has findings.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "trace", Required: true, Usage: "`FILE` with a trace in the format of trace generate"},
			&cli.StringFlag{Name: "fleet", Required: true, Usage: "ferreira or donautal"},
			&cli.StringFlag{Name: "policy", Value: string(replay.PolicyDefault), Usage: "default, fifo, partition or online-only"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random numbers"},
			&cli.StringFlag{Name: "outcomes", Usage: "`FILE` with a JSON object that maps names of results to limits"},
			&cli.StringFlag{Name: "report", Usage: "`FILE` to write an HTML report with plots to"},
		},
		Action: runReplay,
	}
}

func runReplay(_ context.Context, c *cli.Command) error {
	var checks []replay.Check
	if name := c.String("outcomes"); name != "" {
		content, err := os.ReadFile(name)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		if checks, err = replay.ParseChecks(name, content); err != nil {
			return err
		}
	}
	events, err := readTrace(c.String("trace"))
	if err != nil {
		return err
	}
	outcome, err := replay.Run(replay.Config{
		Fleet:  workload.Fleet(c.String("fleet")),
		Policy: replay.Policy(c.String("policy")),
		Seed:   c.Uint64("seed"),
	}, events)
	if err != nil {
		return err
	}
	missed := outcome.Result.Evaluate(checks)
	if name := c.String("report"); name != "" {
		if err := os.WriteFile(name, outcome.HTML(), 0o644); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	for _, line := range missed {
		fmt.Fprintln(c.Root().ErrWriter, "missed outcome: "+line)
	}
	if _, err := fmt.Fprintf(c.Root().Writer, "%s\n", outcome.Result.JSON()); err != nil {
		return err
	}
	if len(missed) > 0 {
		return errors.New("a required outcome was missed")
	}
	return nil
}

func readTrace(name string) ([]workload.Event, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer f.Close()
	return workload.Read(f, name)
}

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:  "trace",
		Usage: "work with traces",
		Commands: []*cli.Command{{
			Name:  "generate",
			Usage: "write a generated trace",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "fleet", Required: true, Usage: "ferreira or donautal"},
				&cli.StringFlag{Name: "day", Value: string(workload.Ordinary), Usage: "ordinary, burst or faults"},
				&cli.DurationFlag{Name: "duration", Value: defaultTraceDuration, Usage: "length of the trace, into which one day is compressed"},
				&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the trace"},
				&cli.StringFlag{Name: "output", Usage: "`FILE` to write; standard output if not given"},
			},
			Action: generateTrace,
		}},
	}
}

func generateTrace(_ context.Context, c *cli.Command) error {
	events, err := workload.Generate(workload.Options{
		Fleet:    workload.Fleet(c.String("fleet")),
		Day:      workload.Day(c.String("day")),
		Duration: c.Duration("duration"),
		Seed:     c.Uint64("seed"),
	})
	if err != nil {
		return err
	}
	name := c.String("output")
	if name == "" {
		return writeTrace(c.Root().Writer, events)
	}
	f, err := os.Create(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.NewAggregate(writeTrace(f, events), f.Close())
}

func writeTrace(out io.Writer, events func(func(workload.Event) bool)) error {
	w := workload.NewWriter(out)
	for e := range events {
		if err := w.Write(e); err != nil {
			return err
		}
	}
	return w.Flush()
}
