package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/demo"
	"github.com/magnoliausher/magnoliausher/examples"
	"github.com/magnoliausher/magnoliausher/keys"
)

const devReadyTimeout = 30 * time.Second

// demoDocument returns the configuration of the embedded example sheet.
func demoDocument() (*contract.Document, error) {
	return examples.Document("ferreira.csv", examples.Ferreira)
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the whole system against embedded simulated engines and services",
		Description: "Runs online requests, a batch job, a burst, a configuration change and an upstream loss, checks every response,\n" +
			"and prints the result as one line of JSON at the end. Exits 1 if a guarantee was violated.",
		Action: func(ctx context.Context, c *cli.Command) error {
			doc, err := demoDocument()
			if err != nil {
				return err
			}
			result, err := demo.Run(ctx, doc, c.Root().Writer)
			if err != nil {
				return err
			}
			if !result.GuaranteesHeld() {
				return errors.New("a guarantee was violated")
			}
			return nil
		},
	}
}

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run the demo's fleet until stopped, for manual tests",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "IP address and port for callers"},
			&cli.StringFlag{Name: "key", Usage: "the caller's key; generated if not given"},
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "debug, info, warn or error"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, c *cli.Command) error {
	if _, err := netip.ParseAddrPort(c.String("listen")); err != nil {
		return usageError{fmt.Sprintf("--listen %q must be an IP address with a port", c.String("listen"))}
	}
	level, err := zerolog.ParseLevel(c.String("log-level"))
	if err != nil {
		return usageError{fmt.Sprintf("--log-level %q must be debug, info, warn or error", c.String("log-level"))}
	}
	key := c.String("key")
	if key == "" {
		key = keys.NewCallerKey()
	}
	doc, err := demoDocument()
	if err != nil {
		return err
	}
	fleet, err := demo.Start(ctx, demo.FleetConfig{
		Document: demo.WithCaller(doc, key),
		Listen:   c.String("listen"),
		Entries:  len(dataCentres(doc)),
		Logger:   zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger(),
	})
	if err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	if err := fleet.WaitReady(ready); err != nil {
		if ctx.Err() != nil { // stopped by a signal
			return fleet.Wait()
		}
		return err
	}
	if err := printUsage(c.Root().Writer, doc, fleet.Entries[0].Address(), key); err != nil {
		return trace.Wrap(err)
	}
	return fleet.Wait()
}

func dataCentres(doc *contract.Document) map[string]struct{} {
	names := make(map[string]struct{})
	for _, g := range doc.Groups {
		names[g.DataCentre] = struct{}{}
	}
	return names
}

const usageTemplate = `ready at http://%[1]s (GET /readyz), key %[2]s

curl -s http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -d '{"model":"%[3]s","messages":[{"role":"user","content":"Diagnose a faulty escapement"}]}'

curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -d '{"model":"%[3]s","stream":true,"messages":[{"role":"user","content":"Which pendulum weight is this?"}]}'

echo '{"custom_id":"note-1","method":"POST","url":"/v1/chat/completions","body":{"model":"%[3]s","messages":[{"role":"user","content":"Write a service note"}]}}' > items.jsonl
curl -s http://%[1]s/v1/files -H 'Authorization: Bearer %[2]s' -F purpose=batch -F file=@items.jsonl
curl -s http://%[1]s/v1/batches -H 'Authorization: Bearer %[2]s' -d '{"input_file_id":"FILE_ID","endpoint":"/v1/chat/completions","completion_window":"24h"}'

curl -s http://%[1]s/operator/v1/sheet -H 'Authorization: Bearer %[2]s' -H 'Accept: text/csv' > sheet.csv  # raise its revision, then:
MAGNOLIAUSHER_KEY=%[2]s magnoliausher sheet apply sheet.csv --entry %[1]s && MAGNOLIAUSHER_KEY=%[2]s magnoliausher sheet status --wait --entry %[1]s

Stop with Ctrl-C or SIGTERM.
`

func printUsage(w io.Writer, doc *contract.Document, address, key string) error {
	model := ""
	for _, s := range doc.Services {
		if s.Kind == contract.KindEngine {
			model = s.Model
			break
		}
	}
	_, err := fmt.Fprintf(w, usageTemplate, address, key, model)
	return err
}
