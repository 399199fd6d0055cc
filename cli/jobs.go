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
		Usage:       "create and follow batch jobs",
		Description: jobsDescription,
		Commands:    []*cli.Command{jobsList(), jobsShow(), jobsCancel(), jobsWait(), jobsCreate(), jobsDownload()},
	}
}

func jobsList() *cli.Command {
	return &cli.Command{
		Name:        "list",
		Usage:       "list the organisation's jobs, the newest first",
		Description: "Example:\n  magnoliausher jobs list --limit 5 --entry 10.0.0.1:8080",
		Flags: remoteFlags(
			&cli.IntFlag{Name: "limit", Value: 20, Usage: "number of jobs, from 1 to 100"},
			&cli.StringFlag{Name: "after", Usage: "id of the last job of the page before"},
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
					b.RequestCounts.Completed, b.RequestCounts.Failed, b.RequestCounts.Total, unixTime(b.CreatedAt))
			}
			if page.HasMore {
				fmt.Fprintf(table, "more with --after %s\n", page.LastID)
			}
			return table.Flush()
		},
	}
}

func unixTime(seconds int64) string { return time.Unix(seconds, 0).UTC().Format(time.RFC3339) }

// jobAction is a command on one job whose state it prints at the end.
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
	fmt.Fprintf(table, "created\t%s\nexpires\t%s\n", unixTime(b.CreatedAt), unixTime(b.ExpiresAt))
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
		Name: "cancel", Usage: "end a job", ArgsUsage: "JOB",
		Description: "Exits 1 when the job had ended in another way before.\n\n" +
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
	return &cli.DurationFlag{Name: "interval", Value: time.Second, Usage: "between two looks at the job"}
}

func jobsWait() *cli.Command {
	return &cli.Command{
		Name: "wait", Usage: "wait for the end of a job", ArgsUsage: "JOB",
		Description: "Exits 1 when the job ends without having completed.\n\n" +
			"Example:\n  magnoliausher jobs wait JOB --entry 10.0.0.1:8080",
		Flags:  remoteFlags(intervalFlag()),
		Action: jobAction(waitJob),
	}
}

func waitJob(ctx context.Context, c *cli.Command, client *jobclient.Client, id string) (*job.BatchObject, error) {
	shown := newProgress(c.Root().ErrWriter)
	b, err := client.Wait(ctx, id, c.Duration("interval"), func(b *job.BatchObject) {
		n := b.RequestCounts
		shown.show(int64(n.Completed+n.Failed), int64(n.Total), "items")
	})
	if err != nil {
		shown.end()
		return nil, err
	}
	n := b.RequestCounts
	shown.finish(int64(n.Completed+n.Failed), int64(n.Total), "items")
	if b.Status != job.StatusCompleted {
		return nil, fmt.Errorf("job %s ended as %s: %d of %d items completed", b.ID, b.Status, n.Completed, n.Total)
	}
	return b, nil
}

func jobsCreate() *cli.Command {
	return &cli.Command{
		Name: "create", Usage: "create a job from a file of items", ArgsUsage: "FILE",
		Description: "The file has one JSON object with custom_id, method, url and body per line. Exits 2 with all findings\n" +
			"when it has errors. The same command with the same --idempotency-key gives the same job.\n\n" +
			"Examples:\n  magnoliausher jobs create items.jsonl --entry 10.0.0.1:8080\n" +
			"  magnoliausher jobs create items.jsonl --wait --window 8h --entry 10.0.0.1:8080",
		Flags: remoteFlags(
			&cli.StringFlag{Name: "window", Value: "24h", Usage: "time after which the job expires, from 1m to 168h"},
			&cli.StringFlag{Name: "idempotency-key", Usage: "name of the job; made up if not given"},
			&cli.BoolFlag{Name: "wait", Usage: "wait for the end of the job"},
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
		return named(file, err)
	}
	b, err := client.Create(ctx, job.CreateRequest{
		InputFileID: uploaded.ID, Endpoint: endpoint, CompletionWindow: c.String("window"),
	}, c.String("idempotency-key"))
	if err != nil {
		return named(file, err)
	}
	if c.Bool("wait") {
		fmt.Fprintf(c.Root().ErrWriter, "job %s accepted\n", b.ID)
		if b, err = waitJob(ctx, c, client, b.ID); err != nil {
			return err
		}
	}
	return printJob(c.Root().Writer, b)
}

// argumentAndClient returns the command's only argument and a client of the entry.
func argumentAndClient(c *cli.Command, what string) (string, *jobclient.Client, error) {
	argument, err := oneArgument(c, what)
	if err != nil {
		return "", nil, err
	}
	client, err := jobClient(c)
	return argument, client, err
}

// maxItemBytes bounds the first line of a file of items.
const maxItemBytes = 16 << 20

// firstEndpoint reads the url of the first item; the entry checks that all
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
	shown := newProgress(c.Root().ErrWriter)
	sent := &meter{shown: shown, total: info.Size()}
	uploaded, err := client.Upload(ctx, filepath.Base(file), io.TeeReader(f, sent))
	if err != nil {
		shown.end()
		return nil, err
	}
	shown.finish(info.Size(), info.Size(), "bytes sent")
	return uploaded, nil
}

// meter shows the bytes written to it.
type meter struct {
	shown *progress
	done  int64
	total int64
}

// Write counts the bytes and never fails.
func (m *meter) Write(p []byte) (int, error) {
	m.done += int64(len(p))
	m.shown.show(m.done, m.total, "bytes")
	return len(p), nil
}

func jobsDownload() *cli.Command {
	return &cli.Command{
		Name: "download", Usage: "copy the results of an ended job", ArgsUsage: "JOB",
		Description: "Writes the file only when it is whole.\n\n" +
			"Examples:\n  magnoliausher jobs download JOB --output results.jsonl --entry 10.0.0.1:8080\n" +
			"  magnoliausher jobs download JOB --errors --output errors.jsonl --entry 10.0.0.1:8080",
		Flags: remoteFlags(
			&cli.StringFlag{Name: "output", Required: true, Usage: "file to write; - for standard output"},
			&cli.BoolFlag{Name: "errors", Usage: "the items that failed instead of the results"},
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
		return fmt.Errorf("job %s has no such file", id)
	}
	output := c.String("output")
	if output == "-" {
		return client.Download(ctx, fileID, c.Root().Writer)
	}
	return download(ctx, c, client, fileID, output)
}

// download writes beside the output and renames, so that a broken download
// never looks like a whole file.
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
	shown := newProgress(c.Root().ErrWriter)
	err = client.Download(ctx, fileID, io.MultiWriter(f, &meter{shown: shown, total: info.Bytes}))
	if err = errors.Join(err, f.Close()); err != nil {
		shown.end()
		return err
	}
	shown.finish(info.Bytes, info.Bytes, "bytes received")
	return trace.ConvertSystemError(os.Rename(f.Name(), output))
}
