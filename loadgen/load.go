package loadgen

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/attempt"
)

// failuresKept bounds the failures that a Load describes.
const failuresKept = 5

// Generator sends requests in the background and counts how they end.
type Generator struct {
	Client *Client
	Model  string

	mu       sync.Mutex
	counts   Counts
	failures []string // the first few
	firstMS  []float64
	gapsMS   []float64
	inFlight sync.WaitGroup
}

// Counts says how requests ended.
type Counts struct {
	Sent       int
	Retried    int // after a refusal that said that the request was not run
	Correct    int // the right answer
	Refused    int // the caller was told of the failure
	Incomplete int // the answer broke off visibly
	Wrong      int // the answer looked whole and was not
}

// Failed counts all requests without the right answer.
func (c Counts) Failed() int { return c.Refused + c.Incomplete + c.Wrong }

// String gives all counts.
func (c Counts) String() string {
	return fmt.Sprintf("sent %d, resent %d, whole %d, refused %d, broken off %d, wrong %d",
		c.Sent, c.Retried, c.Correct, c.Refused, c.Incomplete, c.Wrong)
}

// Send starts one request.
func (l *Generator) Send(ctx context.Context, address, prompt string, tokens int) {
	l.send(ctx, []string{address}, prompt, tokens)
}

// SendWithRetry is like Send, but a refusal that says that the request was not
// run is followed by one more try at another entry, as a caller behind a load
// balancer does.
func (l *Generator) SendWithRetry(ctx context.Context, address, other, prompt string, tokens int) {
	l.send(ctx, []string{address, other}, prompt, tokens)
}

func (l *Generator) send(ctx context.Context, addresses []string, prompt string, tokens int) {
	l.mu.Lock()
	l.counts.Sent++
	l.mu.Unlock()
	request := NewChatRequest(l.Model, prompt, tokens)
	l.inFlight.Go(func() {
		err := l.Client.Chat(ctx, addresses[0], request, l.observe)
		var refused *RefusedError
		if len(addresses) > 1 && errors.As(err, &refused) && refused.Executed == string(attempt.ExecutedNo) {
			l.mu.Lock()
			l.counts.Retried++
			l.mu.Unlock()
			err = l.Client.Chat(ctx, addresses[1], request, l.observe)
		}
		l.record(err)
	})
}

func (l *Generator) record(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var refused *RefusedError
	switch {
	case err == nil:
		l.counts.Correct++
		return
	case errors.As(err, &refused):
		l.counts.Refused++
	case errors.Is(err, ErrIncompleteAnswer):
		l.counts.Incomplete++
	default:
		l.counts.Wrong++
	}
	if len(l.failures) < failuresKept {
		l.failures = append(l.failures, err.Error())
	}
}

func (l *Generator) observe(first bool, d time.Duration) {
	ms := float64(d.Microseconds()) / 1000
	l.mu.Lock()
	defer l.mu.Unlock()
	if first {
		l.firstMS = append(l.firstMS, ms)
	} else {
		l.gapsMS = append(l.gapsMS, ms)
	}
}

// Wait returns when no request is in progress.
func (l *Generator) Wait() { l.inFlight.Wait() }

// Counts returns the counts so far.
func (l *Generator) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Failures describes the first few failures.
func (l *Generator) Failures() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.failures)
}

// P95 returns the 95th percentiles of the time to the first token and between
// tokens in ms, 0 without any.
func (l *Generator) P95() (firstMS, gapMS float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p95(l.firstMS), p95(l.gapsMS)
}

func p95(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, len(sorted)*95/100)]
}
