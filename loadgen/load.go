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

// maxFailures limits the failures that a Generator records.
const maxFailures = 5

// Generator sends requests in the background and counts their outcomes.
type Generator struct {
	Client *Client
	Model  string

	mu           sync.Mutex
	counts       Counts
	failures     []string // the first maxFailures
	firstTokenMS []float64
	interTokenMS []float64
	inFlight     sync.WaitGroup
}

// Counts is the number of requests by outcome.
type Counts struct {
	Sent       int
	Retried    int // sent again after a refusal that said that the request was not executed
	Correct    int // the response was the expected one
	Refused    int // the server reported the failure
	Incomplete int // the response ended early, which the caller can detect
	Wrong      int // the response looked complete but was not the expected one
}

// Failed returns the number of requests without the expected response.
func (c Counts) Failed() int { return c.Refused + c.Incomplete + c.Wrong }

// String formats all counts.
func (c Counts) String() string {
	return fmt.Sprintf("sent %d, retried %d, correct %d, refused %d, incomplete %d, wrong %d",
		c.Sent, c.Retried, c.Correct, c.Refused, c.Incomplete, c.Wrong)
}

// Send starts one request in the background.
func (l *Generator) Send(ctx context.Context, address, prompt string, tokens int) {
	l.send(ctx, []string{address}, prompt, tokens)
}

// SendWithRetry is like Send, but retries once at another gateway if a refusal
// says that the request was not executed, as a caller behind a load balancer does.
func (l *Generator) SendWithRetry(ctx context.Context, address, fallback, prompt string, tokens int) {
	l.send(ctx, []string{address, fallback}, prompt, tokens)
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
	if len(l.failures) < maxFailures {
		l.failures = append(l.failures, err.Error())
	}
}

func (l *Generator) observe(first bool, d time.Duration) {
	ms := float64(d.Microseconds()) / 1000
	l.mu.Lock()
	defer l.mu.Unlock()
	if first {
		l.firstTokenMS = append(l.firstTokenMS, ms)
	} else {
		l.interTokenMS = append(l.interTokenMS, ms)
	}
}

// Wait blocks until no request is in progress.
func (l *Generator) Wait() { l.inFlight.Wait() }

// Counts returns the counts so far.
func (l *Generator) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Failures returns the error messages of the first failures.
func (l *Generator) Failures() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.failures)
}

// P95 returns the 95th percentiles of the time to the first token and of the time
// between tokens in milliseconds, or 0 without samples.
func (l *Generator) P95() (firstMS, gapMS float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p95(l.firstTokenMS), p95(l.interTokenMS)
}

func p95(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, len(sorted)*95/100)]
}
