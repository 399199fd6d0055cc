package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/magnoliausher/magnoliausher/configcheck"
	"github.com/magnoliausher/magnoliausher/finding"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/intake"
	"github.com/magnoliausher/magnoliausher/platform"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "work with the configuration of gateways",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check a configuration before it is sent to the platform's store",
			ArgsUsage: "FILE",
			Description: "Prints errors and warnings, and with --against what changes and what that does to running work.\n" +
				"Exits 1 if there are errors, and 2 if a file cannot be read or decoded. Sends nothing.\n\n" +
				"Examples:\n  magnoliausher config check next.json\n" +
				"  magnoliausher config check next.json --against current.json --memory-mb 144",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "against", Usage: "`FILE` with the version in force"},
				&cli.IntFlag{Name: "memory-mb", Usage: "limits.memory_mb of the smallest gateway"},
				&cli.StringFlag{Name: "format", Value: "text", Usage: "text or json"},
			},
			Action: checkConfig,
		}},
	}
}

type configReport struct {
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes,omitempty"`
}

func checkConfig(_ context.Context, c *cli.Command) error {
	file, err := singleArgument(c, "FILE")
	if err != nil {
		return err
	}
	format := c.String("format")
	if format != "text" && format != "json" {
		return usageError{"--format must be text or json"}
	}
	memory := c.Int("memory-mb")
	if memory < 0 || memory > 1<<20 { // as in the settings
		return usageError{"--memory-mb must be 0 to 1048576"}
	}
	document, err := readConfig(file)
	if err != nil {
		return err
	}
	var inForce *fleet.Configuration
	if name := c.String("against"); name != "" {
		d, err := readConfig(name)
		if err != nil {
			return err
		}
		inForce = d.Configuration
	}
	report := configReport{Findings: configcheck.Check(document, inForce, intake.MaxBody(memory))}
	if inForce != nil {
		report.Changes = configcheck.Diff(inForce, document.Configuration)
	}
	if err := report.print(c.Root().Writer, file, format); err != nil {
		return err
	}
	if slices.ContainsFunc(report.Findings, func(f configcheck.Finding) bool { return f.Severity == configcheck.Error }) {
		return errors.New(file + ": the configuration has errors")
	}
	return nil
}

func (r *configReport) print(out io.Writer, file, format string) error {
	if format == "json" {
		return json.NewEncoder(out).Encode(r)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(out, "%s: %s\n", file, f)
	}
	for _, change := range r.Changes {
		fmt.Fprintf(out, "%s: change: %s\n", file, change)
	}
	_, err := fmt.Fprintf(out, "%s: findings: %d\n", file, len(r.Findings))
	return err
}

// readConfig reads and decodes a configuration. The error has no value of the document,
// which could be a key.
func readConfig(file string) (*configcheck.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, finding.List{{File: file, Reason: err.Error()}}
	}
	d, err := platform.DecodeConfiguration(data)
	if err == nil {
		return d, nil
	}
	f := finding.Finding{File: file, Reason: "is not a configuration in JSON"}
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	offset := int64(0)
	if errors.As(err, &syntax) {
		offset, f.Reason = syntax.Offset, "is not valid JSON"
	} else if errors.As(err, &kind) {
		offset, f.Key, f.Reason = kind.Offset, kind.Field, "has a value of the wrong type or out of range"
	}
	f.Line = 1 + strings.Count(string(data[:min(offset, int64(len(data)))]), "\n")
	return nil, finding.List{f}
}
