package storage

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// readKey identifies a read; identical reads have equal keys.
type readKey struct {
	first  string
	second string
	number uint64
}

// joiner answers identical concurrent reads with one call. A read joins only
// an attempt that has not been sent yet: joining one in progress could return
// a state from before the read began, and a writer that reads back after a
// lost response would then miss its own write. At most one call per key is in
// progress; reads that arrive meanwhile share the next one.
type joiner[T any] struct {
	limited   *Limited
	operation string

	mu   sync.Mutex
	keys map[readKey]*keyState[T]
}

// keyState is kept while a read of the key is in progress or waiting.
type keyState[T any] struct {
	open    *joinedRead[T] // can be joined; nil when none
	sending chan struct{}  // capacity 1; held during a call
	reads   int            // joined reads that use this state
}

// joinedRead is one read on behalf of all waiting callers. Fields other than
// done are guarded by the joiner's mutex until done is closed.
type joinedRead[T any] struct {
	waiting int // callers; the read is cancelled when none is left
	cancel  context.CancelFunc
	done    chan struct{}
	value   T
	err     error // of the last attempt
}

func newJoiner[T any](l *Limited, operation string) *joiner[T] {
	return &joiner[T]{limited: l, operation: operation, keys: make(map[readKey]*keyState[T])}
}

// do returns the result of a call that was sent after do was called.
func (j *joiner[T]) do(ctx context.Context, key readKey, call func(context.Context) (T, error)) (T, error) {
	read := j.join(ctx, key, call)
	select {
	case <-read.done:
		return read.value, read.err
	case <-ctx.Done():
		return j.leave(ctx, key, read)
	}
}

func (j *joiner[T]) join(ctx context.Context, key readKey, call func(context.Context) (T, error)) *joinedRead[T] {
	j.mu.Lock()
	defer j.mu.Unlock()
	state := j.keys[key]
	if state == nil {
		state = &keyState[T]{sending: make(chan struct{}, 1)}
		j.keys[key] = state
	}
	if state.open != nil {
		state.open.waiting++
		return state.open
	}
	// The read outlives the caller that started it if others have joined.
	shared, cancel := context.WithCancel(context.WithoutCancel(ctx))
	read := &joinedRead[T]{waiting: 1, cancel: cancel, done: make(chan struct{})}
	state.open = read
	state.reads++
	go j.run(shared, key, state, read, call)
	return read
}

// leave ends the wait of a caller whose context has ended.
func (j *joiner[T]) leave(ctx context.Context, key readKey, read *joinedRead[T]) (T, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	read.waiting--
	if read.waiting == 0 {
		read.cancel()
		j.close(j.keys[key], read)
	}
	cause := read.err
	if cause == nil {
		cause = ErrUnavailable
	}
	var none T
	return none, fmt.Errorf("%w: %w", cause, ctx.Err())
}

// close stops further callers from joining the read.
func (j *joiner[T]) close(state *keyState[T], read *joinedRead[T]) {
	if state != nil && state.open == read {
		state.open = nil
	}
}

// run attempts the read until it succeeds, fails for good or is cancelled.
func (j *joiner[T]) run(ctx context.Context, key readKey, state *keyState[T], read *joinedRead[T], call func(context.Context) (T, error)) {
	defer read.cancel()
	var value T
	var err error
	for failed := 0; ; failed++ {
		value, err = j.attempt(ctx, state, read, call)
		if !repeatableRead(err) || failed+1 >= j.limited.config.Attempts {
			break
		}
		j.reopen(state, read, err)
		if !j.limited.config.Backoff.Wait(ctx, failed) {
			break
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.close(state, read)
	state.reads--
	if state.reads == 0 {
		delete(j.keys, key)
	}
	read.value, read.err = value, err
	close(read.done)
}

// attempt waits for its turn and the rate limit, closes the read to further
// callers and sends the call.
func (j *joiner[T]) attempt(ctx context.Context, state *keyState[T], read *joinedRead[T], call func(context.Context) (T, error)) (T, error) {
	var none T
	select {
	case state.sending <- struct{}{}:
	case <-ctx.Done():
		return none, fmt.Errorf("%w: not sent: %w", ErrThrottled, ctx.Err())
	}
	defer func() { <-state.sending }()
	if err := waitToken(ctx, j.limited.reads); err != nil {
		return none, err
	}
	j.mu.Lock()
	j.close(state, read)
	j.mu.Unlock()
	value, err := call(ctx)
	countCall(j.operation, err)
	return value, err
}

// reopen lets callers join the next attempt, unless a later read is open already.
func (j *joiner[T]) reopen(state *keyState[T], read *joinedRead[T], err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	read.err = err
	if state.open == nil && read.waiting > 0 {
		state.open = read
	}
}

// countCall counts one call to the platform by operation and outcome.
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
