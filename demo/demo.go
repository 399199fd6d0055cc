package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/job"
	"github.com/magnoliausher/magnoliausher/job/client"
	"github.com/magnoliausher/magnoliausher/keys"
	"github.com/magnoliausher/magnoliausher/loadgen"
	"github.com/magnoliausher/magnoliausher/metric"
)

// Parameters of the demo's load.
const (
	entryCount         = 3
	batchItems         = 1500
	batchTokens        = 60
	onlineTokens       = 40
	onlineInterval     = 60 * time.Millisecond
	burstRequests      = 250
	onlineDuration     = 9 * time.Second
	burstDelay         = 3 * time.Second
	crashDelay         = 5 * time.Second
	nonRepeatableCalls = 5
	totalTimeout       = 60 * time.Second
	batchPollInterval  = 200 * time.Millisecond
	callerID           = "demo"
	promptWords        = 40
)

// Result is the last line of the output.
type Result struct {
	OnlineOK           int     `json:"online_ok"`
	OnlineFailed       int     `json:"online_failed"`
	BatchItems         int     `json:"batch_items"`
	BatchCompletedOnce int     `json:"batch_completed_once"`
	Preemptions        uint64  `json:"preemptions"`
	TTFTP95MS          float64 `json:"ttft_p95_ms"`
	ITLP95MS           float64 `json:"itl_p95_ms"`
	OnceOK             int     `json:"once_ok"` // non-repeatable calls, each sent twice, that ran once
	// ConfigInForceMS is the time from sending a small change to one entry until
	// all entries and agents had it, or 0 if they did not get it.
	ConfigInForceMS float64 `json:"config_in_force_ms"`
}

// GuaranteesHeld reports whether every guarantee held.
func (r Result) GuaranteesHeld() bool {
	configInTime := r.ConfigInForceMS > 0 && r.ConfigInForceMS <= float64(maxRolloutTime.Milliseconds())
	return r.OnlineFailed == 0 && r.BatchCompletedOnce == r.BatchItems && r.OnceOK == nonRepeatableCalls && configInTime
}

// WithCaller returns a copy of the document with an additional caller that holds
// the key and has all permissions.
func WithCaller(doc *contract.Document, key string) *contract.Document {
	out := *doc
	out.Callers = append(append([]contract.Caller(nil), doc.Callers...), contract.Caller{
		ID: callerID, Organisation: callerID, KeySHA256: contract.HashKey(key),
		RatePerSecond: 10000, Burst: 10000, MaxInProgress: 10000,
		Classes:  []contract.Class{contract.ClassOnline, contract.ClassBatch},
		Operator: true,
	})
	return &out
}

// Run runs the demo on the document's fleet and writes its progress to out, with
// the result as the last line.
func Run(ctx context.Context, doc *contract.Document, out io.Writer) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	key := keys.NewCallerKey()
	fleetCtx, stop := context.WithCancel(ctx)
	defer stop()
	fleet, err := Start(fleetCtx, FleetConfig{Document: WithCaller(doc, key), Entries: entryCount, Logger: zerolog.Nop()})
	if err != nil {
		return Result{}, err
	}
	if err := fleet.WaitReady(ctx); err != nil {
		return Result{}, err
	}
	d := &demoRun{fleet: fleet, out: out, key: key, start: time.Now(), engineService: engineService(doc)}
	d.logf("fleet ready: %d entries, %d engines, %d plain services", len(fleet.Entries), len(fleet.Engines), len(fleet.Services))
	result, err := d.run(ctx, doc)
	stop()
	if waitErr := fleet.Wait(); err == nil {
		err = waitErr
	}
	if err != nil {
		return result, err
	}
	line, err := json.Marshal(result)
	if err != nil {
		return result, trace.Wrap(err)
	}
	_, err = fmt.Fprintf(out, "%s\n", line)
	return result, trace.Wrap(err)
}

type demoRun struct {
	fleet         *Fleet
	outMu         sync.Mutex // guards out
	out           io.Writer
	key           string
	start         time.Time
	engineService *contract.Service
}

func engineService(doc *contract.Document) *contract.Service {
	for i := range doc.Services {
		if doc.Services[i].Kind == contract.KindEngine {
			return &doc.Services[i]
		}
	}
	return nil
}

func (d *demoRun) logf(format string, args ...any) {
	d.outMu.Lock()
	defer d.outMu.Unlock()
	fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demoRun) run(ctx context.Context, doc *contract.Document) (Result, error) {
	addresses := make([]string, 0, len(d.fleet.Entries))
	for _, e := range d.fleet.Entries {
		addresses = append(addresses, e.Address())
	}
	batch := &client.Client{BaseURL: "http://" + addresses[0], Key: d.key}
	batchID, err := d.submitBatch(ctx, batch)
	if err != nil {
		return Result{}, err
	}
	c := newCaller(addresses, d.key, d.engineService.Model)
	rollout := make(chan time.Duration, 1)
	go func() { rollout <- d.changeConfig(ctx, addresses[1]) }()
	d.runOnlineLoad(ctx, c)
	onceOK := d.runNonRepeatable(ctx, c, doc)
	c.load.Wait()
	online := c.load.Counts()
	d.logf("online load finished: %s", online)
	for _, f := range c.load.Failures() {
		d.logf("failure: %s", f)
	}
	completed, err := d.finishBatch(ctx, batch, batchID)
	if err != nil {
		return Result{}, err
	}
	ttftMS, itlMS := c.load.P95()
	return Result{
		OnlineOK: online.Correct, OnlineFailed: online.Failed(),
		BatchItems: batchItems, BatchCompletedOnce: completed,
		Preemptions: metric.Sum(metric.PreemptedName),
		TTFTP95MS:   ttftMS, ITLP95MS: itlMS,
		OnceOK:          onceOK,
		ConfigInForceMS: float64((<-rollout).Microseconds()) / 1000,
	}, nil
}

// runOnlineLoad sends requests at a steady rate, with one burst and one engine
// crash.
func (d *demoRun) runOnlineLoad(ctx context.Context, c *caller) {
	ticker := time.NewTicker(onlineInterval)
	defer ticker.Stop()
	started := time.Now()
	burstSent, crashed := false, false
	for n := 0; time.Since(started) < onlineDuration; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.sendChat(ctx, prompt("question", n), onlineTokens)
		if !burstSent && time.Since(started) > burstDelay {
			burstSent = true
			d.logf("burst of %d online requests", burstRequests)
			for i := range burstRequests {
				c.sendChat(ctx, prompt("burst", i), onlineTokens)
			}
		}
		if !crashed && time.Since(started) > crashDelay {
			crashed = true
			node := d.fleet.Engines[0]
			d.logf("upstream of %s crashes", node.AgentID)
			node.Engine.Crash(restartDelay)
		}
	}
}

// runNonRepeatable sends non-repeatable calls, each twice, and returns how many
// ran exactly once.
func (d *demoRun) runNonRepeatable(ctx context.Context, c *caller, doc *contract.Document) int {
	ranOnce := 0
	for i := range doc.Services {
		svc := &doc.Services[i]
		if len(svc.NonRepeatable) == 0 {
			continue
		}
		path := "/services/" + svc.Name + svc.NonRepeatable[0].Path
		for n := range nonRepeatableCalls {
			if err := c.checkRunsOnce(ctx, path, fmt.Sprintf("demo-%d", n), d.executions); err != nil {
				d.logf("failure: %v", err)
				continue
			}
			ranOnce++
		}
		d.logf("%s: %d calls sent twice each, %d ran once", path, nonRepeatableCalls, ranOnce)
		break
	}
	return ranOnce
}

func (d *demoRun) executions(body []byte) int {
	total := 0
	for _, s := range d.fleet.Services {
		total += s.ExecutionsByBody(body)
	}
	return total
}

func prompt(kind string, n int) string {
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", kind, n, strings.Repeat("word ", promptWords)))
}

func (d *demoRun) submitBatch(ctx context.Context, c *client.Client) (string, error) {
	var lines bytes.Buffer
	for n := range batchItems {
		item := map[string]any{
			"custom_id": itemID(n), "method": "POST", "url": job.EndpointChat, "body": d.itemBody(n),
		}
		if err := json.NewEncoder(&lines).Encode(item); err != nil {
			return "", trace.Wrap(err)
		}
	}
	file, err := c.Upload(ctx, "items.jsonl", &lines)
	if err != nil {
		return "", trace.Wrap(err)
	}
	batch, err := c.Create(ctx, job.CreateRequest{InputFileID: file.ID, Endpoint: job.EndpointChat, CompletionWindow: "24h"}, "")
	if err != nil {
		return "", trace.Wrap(err)
	}
	d.logf("batch %s accepted with %d items", batch.ID, batchItems)
	return batch.ID, nil
}

func (d *demoRun) itemBody(n int) loadgen.ChatRequest {
	return loadgen.NewChatRequest(d.engineService.Model, prompt("item", n), batchTokens)
}

func itemID(n int) string { return fmt.Sprintf("item-%d", n) }

// finishBatch waits for the batch and returns how many items have exactly one
// result with the expected text.
func (d *demoRun) finishBatch(ctx context.Context, c *client.Client, id string) (int, error) {
	lastLogged := time.Now()
	batch, err := c.Wait(ctx, id, batchPollInterval, func(b *job.BatchObject) {
		if time.Since(lastLogged) > time.Second {
			lastLogged = time.Now()
			d.logf("batch: %d of %d items done", b.RequestCounts.Completed, b.RequestCounts.Total)
		}
	})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	d.logf("batch ended as %s", batch.Status)
	var output bytes.Buffer
	if err := c.Download(ctx, batch.OutputFileID, &output); err != nil {
		return 0, trace.Wrap(err)
	}
	return d.countResults(&output)
}

type outputLine struct {
	CustomID string `json:"custom_id"`
	Response struct {
		Body struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		} `json:"body"`
	} `json:"response"`
}

func (d *demoRun) countResults(r io.Reader) (int, error) {
	want := make(map[string]string, batchItems)
	for n := range batchItems {
		body, err := json.Marshal(d.itemBody(n))
		if err != nil {
			return 0, trace.Wrap(err)
		}
		if want[itemID(n)], err = loadgen.ExpectedText(body); err != nil {
			return 0, err
		}
	}
	seen := make(map[string]int, batchItems)
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line outputLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return 0, trace.Wrap(err)
		}
		choices := line.Response.Body.Choices
		if len(choices) == 1 && choices[0].Message.Content == want[line.CustomID] {
			seen[line.CustomID]++
		}
	}
	once := 0
	for _, n := range seen {
		if n == 1 {
			once++
		}
	}
	return once, trace.Wrap(lines.Err())
}
