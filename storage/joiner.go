package storage

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// readKey identifies a read. Identical reads have equal keys.
type readKey struct {
	keyOrPrefix     string
	after           string
	limitOrRevision uint64
}

// coalescer performs identical concurrent reads with one call. A read joins only
// an attempt that has not been sent yet. A call in progress may return a state
// from before the read began: a writer that reads the row after a lost response
// would then miss its own write. At most one call per key is in progress; reads
// that arrive meanwhile share the next one.
type coalescer[T any] struct {
	limited   *Limited
	operation string

	mu   sync.Mutex
	keys map[readKey]*keyState[T]
}

// keyState exists while a read of the key is waiting or in progress.
type keyState[T any] struct {
	joinable *sharedRead[T] // not sent yet; nil if there is none
	inFlight chan struct{}  // semaphore of size 1, held during a call
	reads    int            // shared reads that use this state
}

// sharedRead is one read on behalf of all waiting callers. Until done is closed,
// the coalescer's mutex guards the other fields.
type sharedRead[T any] struct {
	waiters int // number of callers; the read is cancelled when it drops to 0
	cancel  context.CancelFunc
	done    chan struct{}
	value   T
	err     error // of the last attempt
}

func newCoalescer[T any](l *Limited, operation string) *coalescer[T] {
	return &coalescer[T]{limited: l, operation: operation, keys: make(map[readKey]*keyState[T])}
}

// do returns the result of a call that is sent after do was called.
func (c *coalescer[T]) do(ctx context.Context, key readKey, call func(context.Context) (T, error)) (T, error) {
	read := c.join(ctx, key, call)
	select {
	case <-read.done:
		return read.value, read.err
	case <-ctx.Done():
		return c.leave(ctx, key, read)
	}
}

func (c *coalescer[T]) join(ctx context.Context, key readKey, call func(context.Context) (T, error)) *sharedRead[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.keys[key]
	if state == nil {
		state = &keyState[T]{inFlight: make(chan struct{}, 1)}
		c.keys[key] = state
	}
	if state.joinable != nil {
		state.joinable.waiters++
		return state.joinable
	}
	// The shared read outlives the caller that started it if others have joined.
	shared, cancel := context.WithCancel(context.WithoutCancel(ctx))
	read := &sharedRead[T]{waiters: 1, cancel: cancel, done: make(chan struct{})}
	state.joinable = read
	state.reads++
	go c.run(shared, key, state, read, call)
	return read
}

// leave removes a caller whose context has ended, and cancels the read if no
// other caller waits for it.
func (c *coalescer[T]) leave(ctx context.Context, key readKey, read *sharedRead[T]) (T, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	read.waiters--
	if read.waiters == 0 {
		read.cancel()
		c.seal(c.keys[key], read)
	}
	cause := read.err
	if cause == nil {
		cause = ErrUnavailable
	}
	var zero T
	return zero, fmt.Errorf("%w: %w", cause, ctx.Err())
}

// seal keeps further callers from joining the read.
func (c *coalescer[T]) seal(state *keyState[T], read *sharedRead[T]) {
	if state != nil && state.joinable == read {
		state.joinable = nil
	}
}

// run retries the read until it succeeds, is cancelled, or fails with an error
// that is not retryable or with its last attempt.
func (c *coalescer[T]) run(ctx context.Context, key readKey, state *keyState[T], read *sharedRead[T], call func(context.Context) (T, error)) {
	defer read.cancel()
	var value T
	var err error
	for failures := 0; ; failures++ {
		value, err = c.attempt(ctx, state, read, call)
		if !retryableRead(err) || failures+1 >= c.limited.config.Attempts {
			break
		}
		c.reopen(state, read, err)
		if !c.limited.config.Backoff.Wait(ctx, failures) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seal(state, read)
	state.reads--
	if state.reads == 0 {
		delete(c.keys, key)
	}
	read.value, read.err = value, err
	close(read.done)
}

// attempt waits until no call of the key is in progress and for the rate limit,
// seals the read and sends the call.
func (c *coalescer[T]) attempt(ctx context.Context, state *keyState[T], read *sharedRead[T], call func(context.Context) (T, error)) (T, error) {
	var zero T
	select {
	case state.inFlight <- struct{}{}:
	case <-ctx.Done():
		return zero, fmt.Errorf("%w: not sent: %w", ErrThrottled, ctx.Err())
	}
	defer func() { <-state.inFlight }()
	if err := waitToken(ctx, c.limited.reads); err != nil {
		return zero, err
	}
	c.mu.Lock()
	c.seal(state, read)
	c.mu.Unlock()
	value, err := call(ctx)
	countCall(c.operation, err)
	return value, err
}

// reopen lets callers join the next attempt, unless a later read is joinable already.
func (c *coalescer[T]) reopen(state *keyState[T], read *sharedRead[T], err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	read.err = err
	if state.joinable == nil && read.waiters > 0 {
		state.joinable = read
	}
}

// countCall increments the counter of platform calls by operation and outcome.
func countCall(operation string, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`magnoliausher_platform_calls_total{operation=%q,outcome=%q}`, operation, outcome(err))).Inc()
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotFound):
		return CodeNotFound
	case errors.Is(err, ErrConflict):
		return CodeConflict
	case errors.Is(err, ErrThrottled):
		return CodeThrottled
	case errors.Is(err, ErrUnavailable):
		return CodeUnavailable
	}
	return "error"
}

func cloneRow(row Row) Row {
	row.Value = bytes.Clone(row.Value)
	return row
}

func cloneRows(rows []Row) []Row {
	var out []Row
	for _, row := range rows {
		out = append(out, cloneRow(row))
	}
	return out
}
