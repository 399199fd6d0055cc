package storage_test

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	standin "github.com/magnoliausher/magnoliausher/standin/platform"
	"github.com/magnoliausher/magnoliausher/storage"
)

var fastLimits = storage.LimitConfig{ReadsPerSecond: 1e6, WritesPerSecond: 1e6}

// slowReads reads a row at once and returns it later, so that a read in progress
// returns an old state.
type slowReads struct {
	storage.Platform
	response time.Duration
}

func (s slowReads) Get(ctx context.Context, key string) (storage.Row, error) {
	row, err := s.Platform.Get(ctx, key)
	select {
	case <-time.After(s.response):
	case <-ctx.Done():
		return storage.Row{}, ctx.Err()
	}
	return row, err
}

// Guards against one call for each of several identical concurrent reads.
func TestIdenticalReadsAreCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		l := storage.NewLimited(slowReads{s, time.Second}, fastLimits)
		var readers sync.WaitGroup
		for range 50 {
			readers.Go(func() {
				if _, err := l.Get(t.Context(), "k"); !errors.Is(err, storage.ErrNotFound) {
					t.Error(err)
				}
			})
		}
		readers.Wait()
		if reads := s.Stats().TableReads; reads > 2 {
			t.Fatalf("%d reads for 50 identical concurrent ones, want at most 2", reads)
		}
	})
}

// Guards against a read that joins a call sent before it began. After a lost
// response, a writer that reads the row back would not see its own write.
func TestReadSeesEarlierWriteDespiteCoalescing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		l := storage.NewLimited(slowReads{s, time.Second}, fastLimits)
		go func() { _, _ = l.Get(t.Context(), "k") }()
		synctest.Wait() // the read is in progress and has seen no row
		s.LoseNextResponses(1)
		if _, err := l.Commit(t.Context(), oneWrite); !errors.Is(err, storage.ErrUnavailable) {
			t.Fatal(err)
		}
		if _, err := l.Get(t.Context(), "k"); err != nil {
			t.Fatalf("read back after a lost response: %v", err)
		}
	})
}

// Guards against coalesced readers that share memory, and against a cancelled
// reader that fails the others of its read.
func TestCoalescedReadersAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		if _, err := s.Commit(t.Context(), oneWrite); err != nil {
			t.Fatal(err)
		}
		l := storage.NewLimited(slowReads{s, time.Second}, fastLimits)
		go func() { _, _ = l.Get(t.Context(), "k") }()
		synctest.Wait() // the call is in progress, so later reads share the next one
		first, leave := context.WithCancel(t.Context())
		go func() { _, _ = l.Get(first, "k") }()
		synctest.Wait() // first waits for the next call
		rows := make(chan storage.Row, 2)
		for range 2 {
			go func() {
				row, err := l.Get(t.Context(), "k")
				if err != nil {
					t.Error(err)
				}
				rows <- row
			}()
		}
		synctest.Wait()
		leave()
		a, b := <-rows, <-rows
		if t.Failed() {
			return // the rows are empty
		}
		a.Value[0] = 'x'
		if !bytes.Equal(b.Value, []byte("v")) {
			t.Fatalf("a change of one reader's row is visible to another reader: %q", b.Value)
		}
	})
}

// Guards against retries of writes whose outcome is unknown, and against missing
// retries of calls that are safe to retry.
func TestRetryPolicy(t *testing.T) {
	get := func(ctx context.Context, l *storage.Limited) error {
		_, err := l.Get(ctx, "k")
		return err
	}
	commit := func(ctx context.Context, l *storage.Limited) error {
		_, err := l.Commit(ctx, oneWrite)
		return err
	}
	remove := func(ctx context.Context, l *storage.Limited) error { return l.Objects().Delete(ctx, "k") }
	open := func(ctx context.Context, l *storage.Limited) error {
		_, err := l.Objects().Get(ctx, "k")
		return err
	}
	cases := []struct {
		name   string
		inject func(*standin.Platform)
		call   func(context.Context, *storage.Limited) error
		want   error
		calls  int
	}{
		{"failed read", func(s *standin.Platform) { s.FailNextCalls(3) }, get, storage.ErrNotFound, 4},
		{"throttled read", func(s *standin.Platform) { s.ThrottleNextCalls(3) }, get, storage.ErrNotFound, 4},
		{"failed open", func(s *standin.Platform) { s.FailNextCalls(3) }, open, storage.ErrNotFound, 4},
		{"failed commit", func(s *standin.Platform) { s.FailNextCalls(1) }, commit, storage.ErrUnavailable, 1},
		{"lost commit", func(s *standin.Platform) { s.LoseNextResponses(1) }, commit, storage.ErrUnavailable, 1},
		{"throttled commit", func(s *standin.Platform) { s.ThrottleNextCalls(3) }, commit, nil, 4},
		{"failed deletion", func(s *standin.Platform) { s.FailNextCalls(1) }, remove, storage.ErrUnavailable, 1},
		{"outage", func(s *standin.Platform) { s.SetOutage(true) }, get, storage.ErrUnavailable, storage.DefaultAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.New(standin.Config{})
				c.inject(s)
				err := c.call(t.Context(), storage.NewLimited(s, fastLimits))
				stats := s.Stats()
				if !errors.Is(err, c.want) || stats.Reads()+stats.Writes() != c.calls {
					t.Fatalf("%v after %d calls, want %v after %d", err, stats.Reads()+stats.Writes(), c.want, c.calls)
				}
			})
		})
	}
}

// Guards against retries that outlast the context of their call.
func TestContextBoundsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		s.SetOutage(true)
		config := fastLimits
		config.Attempts = 1000
		l := storage.NewLimited(s, config)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := l.Get(ctx, "k")
		if !errors.Is(err, storage.ErrUnavailable) || time.Since(start) > 300*time.Millisecond {
			t.Fatalf("%v after %v, want ErrUnavailable within 300 ms", err, time.Since(start))
		}
		synctest.Wait()
		calls := s.Stats().Reads()
		time.Sleep(time.Minute)
		if later := s.Stats().Reads(); later != calls {
			t.Fatalf("%d more reads after the context ended", later-calls)
		}
	})
}

// Guards against a process that exceeds its share of the platform's rate limit,
// and against an error that does not tell that a write was never sent.
func TestSharedRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		l := storage.NewLimited(s, storage.LimitConfig{WritesPerSecond: 10, WriteBurst: 5})
		write := storage.Transaction{Writes: []storage.Write{{Key: "k", Always: true}}}
		var writers sync.WaitGroup
		start := time.Now()
		for range 25 {
			writers.Go(func() {
				if _, err := l.Commit(t.Context(), write); err != nil {
					t.Error(err)
				}
			})
		}
		writers.Wait()
		if took := time.Since(start); took < 2*time.Second {
			t.Fatalf("25 writes took %v at 10 per second with a burst of 5", took)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := l.Commit(ctx, write)
		if !errors.Is(err, storage.ErrThrottled) || errors.Is(err, storage.ErrUnavailable) {
			t.Fatalf("unsent write: %v, want ErrThrottled only", err)
		}
		if writes := s.Stats().TableWrites; writes != 25 {
			t.Fatalf("%d writes reached the platform, want 25", writes)
		}
	})
}

// Guards against delays outside the range of the jitter, and against an overflow
// after many failures.
func TestBackoffDelayIsBounded(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("0 <= delay <= min(max, base*2^n)", prop.ForAll(
		func(baseMS, maxMS int64, failed int) bool {
			b := storage.Backoff{Base: time.Duration(baseMS) * time.Millisecond, Max: time.Duration(maxMS) * time.Millisecond}
			limit := b.Max
			if failed < 20 {
				limit = min(b.Max, b.Base<<failed)
			}
			delay := b.Delay(failed)
			return delay >= 0 && delay <= limit
		},
		gen.Int64Range(0, 10_000), gen.Int64Range(0, 100_000), gen.IntRange(0, 200),
	))
	properties.TestingRun(t)
}
