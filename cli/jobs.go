package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/magnoliausher/magnoliausher/finding"
	"github.com/magnoliausher/magnoliausher/job"
	jobclient "github.com/magnoliausher/magnoliausher/job/client"
)

const jobsDescription = `Examples:
  export MAGNOLIAUSHER_KEY=...
  magnoliausher jobs create items.jsonl --wait --entry 10.0.0.1:8080
  magnoliausher jobs list --entry 10.0.0.1:8080
  magnoliausher jobs download JOB --output results.jsonl --entry 10.0.0.1:8080`

func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:        "jobs",
		Usage:       "create and manage batch jobs",
		Description: jobsDescription,
		Commands:    []*cli.Command{jobsList(), jobsShow(), jobsCancel(), jobsWait(), jobsCreate(), jobsDownload()},
	}
}

func jobsList() *cli.Command {
	return &cli.Command{
		Name:        "list",
		Usage:       "list the organisation's jobs, newest first",
		Description: "Example:\n  magnoliausher jobs list --limit 5 --entry 10.0.0.1:8080",
		Flags: remoteFlags(
			&cli.IntFlag{Name: "limit", Value: 20, Usage: "number of jobs, from 1 to 100"},
			&cli.StringFlag{Name: "after", Usage: "id of the last job on the previous page"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := jobClient(c)
			if err != nil {
				return err
			}
			page, err := client.List(ctx, c.String("after"), c.Int("limit"))
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "job\tstatus\tcompleted\tfailed\ttotal\tcreated")
			for _, b := range page.Data {
				fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%s\n", b.ID, b.Status,
					b.RequestCounts.Completed, b.RequestCounts.Failed, b.RequestCounts.Total, formatUnixTime(b.CreatedAt))
			}
			if page.HasMore {
				fmt.Fprintf(table, "more with --after %s\n", page.LastID)
			}
			return table.Flush()
		},
	}
}

func formatUnixTime(seconds int64) string { return time.Unix(seconds, 0).UTC().Format(time.RFC3339) }

// jobAction returns an action that runs on one job and prints its final state.
func jobAction(action func(ctx context.Context, c *cli.Command, client *jobclient.Client, id string) (*job.BatchObject, error)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		id, client, err := argumentAndClient(c, "JOB")
		if err != nil {
			return err
		}
		b, err := action(ctx, c, client, id)
		if err != nil {
			return err
		}
		return printJob(c.Root().Writer, b)
	}
}

func printJob(out io.Writer, b *job.BatchObject) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "job\t%s\nstatus\t%s\nendpoint\t%s\n", b.ID, b.Status, b.Endpoint)
	fmt.Fprintf(table, "completed\t%d of %d\nfailed\t%d\n", b.RequestCounts.Completed, b.RequestCounts.Total, b.RequestCounts.Failed)
	fmt.Fprintf(table, "created\t%s\nexpires\t%s\n", formatUnixTime(b.CreatedAt), formatUnixTime(b.ExpiresAt))
	if b.OutputFileID != "" {
		fmt.Fprintf(table, "output file\t%s\n", b.OutputFileID)
	}
	if b.ErrorFileID != "" {
		fmt.Fprintf(table, "error file\t%s\n", b.ErrorFileID)
	}
	return table.Flush()
}

func jobsShow() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "print the state of a job", ArgsUsage: "JOB",
		Description: "Example:\n  magnoliausher jobs show JOB --entry 10.0.0.1:8080",
		Flags:       remoteFlags(),
		Action: jobAction(func(ctx context.Context, _ *cli.Command, client *jobclient.Client, id string) (*job.BatchObject, error) {
			return client.Get(ctx, id)
		}),
	}
}

func jobsCancel() *cli.Command {
	return &cli.Command{
		Name: "cancel", Usage: "cancel a job", ArgsUsage: "JOB",
		Description: "Exits 1 if the job had already ended in another state.\n\n" +
			"Example:\n  magnoliausher jobs cancel JOB --entry 10.0.0.1:8080",
		Flags: remoteFlags(),
		Action: jobAction(func(ctx context.Context, _ *cli.Command, client *jobclient.Client, id string) (*job.BatchObject, error) {
			b, err := client.Cancel(ctx, id)
			if err == nil && b.Status != job.StatusCancelled {
				return nil, fmt.Errorf("the job had already ended as %s", b.Status)
			}
			return b, err
		}),
	}
}

func intervalFlag() cli.Flag {
	return &cli.DurationFlag{Name: "interval", Value: time.Second, Usage: "polling interval"}
}

func jobsWait() *cli.Command {
	return &cli.Command{
		Name: "wait", Usage: "wait until a job ends", ArgsUsage: "JOB",
		Description: "Exits 1 if the job ends in any state other than completed.\n\n" +
			"Example:\n  magnoliausher jobs wait JOB --entry 10.0.0.1:8080",
		Flags:  remoteFlags(intervalFlag()),
		Action: jobAction(waitJob),
	}
}

func waitJob(ctx context.Context, c *cli.Command, client *jobclient.Client, id string) (*job.BatchObject, error) {
	display := newProgress(c.Root().ErrWriter)
	b, err := client.Wait(ctx, id, c.Duration("interval"), func(b *job.BatchObject) {
		n := b.RequestCounts
		display.update(int64(n.Completed+n.Failed), int64(n.Total), "items")
	})
	if err != nil {
		display.endLine()
		return nil, err
	}
	n := b.RequestCounts
	display.finish(int64(n.Completed+n.Failed), int64(n.Total), "items")
	if b.Status != job.StatusCompleted {
		return nil, fmt.Errorf("job %s ended as %s: %d of %d items completed", b.ID, b.Status, n.Completed, n.Total)
	}
	return b, nil
}

func jobsCreate() *cli.Command {
	return &cli.Command{
		Name: "create", Usage: "create a job from a file of items", ArgsUsage: "FILE",
		Description: "Each line of the file is a JSON object with custom_id, method, url and body. Exits 2 with all findings\n" +
			"if the file has errors. Repeating the command with the same --idempotency-key returns the same job.\n\n" +
			"Examples:\n  magnoliausher jobs create items.jsonl --entry 10.0.0.1:8080\n" +
			"  magnoliausher jobs create items.jsonl --wait --window 8h --entry 10.0.0.1:8080",
		Flags: remoteFlags(
			&cli.StringFlag{Name: "window", Value: "24h", Usage: "time after which the job expires, from 1m to 168h"},
			&cli.StringFlag{Name: "idempotency-key", Usage: "idempotency key of the job; generated if not given"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the job ends"},
			intervalFlag(),
		),
		Action: runJobsCreate,
	}
}

func runJobsCreate(ctx context.Context, c *cli.Command) error {
	file, client, err := argumentAndClient(c, "FILE")
	if err != nil {
		return err
	}
	endpoint, err := firstEndpoint(file)
	if err != nil {
		return err
	}
	uploaded, err := upload(ctx, c, client, file)
	if err != nil {
		return withFileName(file, err)
	}
	b, err := client.Create(ctx, job.CreateRequest{
		InputFileID: uploaded.ID, Endpoint: endpoint, CompletionWindow: c.String("window"),
	}, c.String("idempotency-key"))
	if err != nil {
		return withFileName(file, err)
	}
	if c.Bool("wait") {
		fmt.Fprintf(c.Root().ErrWriter, "job %s accepted\n", b.ID)
		if b, err = waitJob(ctx, c, client, b.ID); err != nil {
			return err
		}
	}
	return printJob(c.Root().Writer, b)
}

// argumentAndClient returns the command's only argument and a job client.
func argumentAndClient(c *cli.Command, argName string) (string, *jobclient.Client, error) {
	argument, err := singleArgument(c, argName)
	if err != nil {
		return "", nil, err
	}
	client, err := jobClient(c)
	return argument, client, err
}

// maxItemBytes limits the first line of an item file.
const maxItemBytes = 16 << 20

// firstEndpoint returns the url of the first item. The entry checks that all
// items have the same one.
func firstEndpoint(file string) (string, error) {
	f, err := os.Open(file)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	defer f.Close()
	var first struct {
		URL string `json:"url"`
	}
	if err := json.NewDecoder(bufio.NewReader(io.LimitReader(f, maxItemBytes))).Decode(&first); err != nil {
		return "", finding.List{{File: file, Line: 1, Reason: "not a JSON object of a batch item: " + err.Error()}}
	}
	return first.URL, nil
}

func upload(ctx context.Context, c *cli.Command, client *jobclient.Client, file string) (*job.FileObject, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	display := newProgress(c.Root().ErrWriter)
	counter := &progressWriter{display: display, total: info.Size()}
	uploaded, err := client.Upload(ctx, filepath.Base(file), io.TeeReader(f, counter))
	if err != nil {
		display.endLine()
		return nil, err
	}
	display.finish(info.Size(), info.Size(), "bytes sent")
	return uploaded, nil
}

// progressWriter reports the number of bytes written to it.
type progressWriter struct {
	display *progress
	written int64
	total   int64
}

// Write counts the bytes and never fails.
func (w *progressWriter) Write(p []byte) (int, error) {
	w.written += int64(len(p))
	w.display.update(w.written, w.total, "bytes")
	return len(p), nil
}

func jobsDownload() *cli.Command {
	return &cli.Command{
		Name: "download", Usage: "download the results of a job that has ended", ArgsUsage: "JOB",
		Description: "The output file is created only once the download is complete.\n\n" +
			"Examples:\n  magnoliausher jobs download JOB --output results.jsonl --entry 10.0.0.1:8080\n" +
			"  magnoliausher jobs download JOB --errors --output errors.jsonl --entry 10.0.0.1:8080",
		Flags: remoteFlags(
			&cli.StringFlag{Name: "output", Required: true, Usage: "file to write; - for standard output"},
			&cli.BoolFlag{Name: "errors", Usage: "download the failed items instead of the results"},
		),
		Action: runJobsDownload,
	}
}

func runJobsDownload(ctx context.Context, c *cli.Command) error {
	id, client, err := argumentAndClient(c, "JOB")
	if err != nil {
		return err
	}
	b, err := client.Get(ctx, id)
	if err != nil {
		return err
	}
	if !b.Status.Final() {
		return fmt.Errorf("job %s has not ended; see jobs wait", id)
	}
	fileID := b.OutputFileID
	if c.Bool("errors") {
		fileID = b.ErrorFileID
	}
	if fileID == "" {
		return fmt.Errorf("job %s has no file of the requested kind", id)
	}
	output := c.String("output")
	if output == "-" {
		return client.Download(ctx, fileID, c.Root().Writer)
	}
	return download(ctx, c, client, fileID, output)
}

// download writes to a temporary file beside the output and renames it, so that
// an interrupted download never looks like a complete file.
func download(ctx context.Context, c *cli.Command, client *jobclient.Client, fileID, output string) (err error) {
	info, err := client.File(ctx, fileID)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(output), filepath.Base(output)+".part-*")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name())
		}
	}()
	display := newProgress(c.Root().ErrWriter)
	err = client.Download(ctx, fileID, io.MultiWriter(f, &progressWriter{display: display, total: info.Bytes}))
	if err = errors.Join(err, f.Close()); err != nil {
		display.endLine()
		return err
	}
	display.finish(info.Bytes, info.Bytes, "bytes received")
	return trace.ConvertSystemError(os.Rename(f.Name(), output))
}
