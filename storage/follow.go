package storage

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/pause"
)

const (
	// defaultFeedWait is the default of Follower.Wait. It bounds the time until an
	// unresponsive connection is detected.
	defaultFeedWait = time.Second
	// feedTimeoutMargin is added to the wait of a read to get its timeout.
	feedTimeoutMargin = 700 * time.Millisecond
	// hedgeInterval is the interval between hedged reads of a failed feed. A slow
	// store responds within 300 ms; a read that was sent while the store was
	// unreachable may get no response until long after it is back.
	hedgeInterval = 400 * time.Millisecond
	// maxHedgedReads and hedgeTimeout bound the hedged reads. The timeout exceeds
	// hedgeInterval so that a slower store can still respond to the first read.
	maxHedgedReads = 4
	hedgeTimeout   = 2 * feedTimeoutMargin
)

// feedBackoff is the backoff between reads of a failing feed. Its maximum keeps
// the time to detect that the store is back well under the one second that the
// distribution of a configuration may take.
var feedBackoff = Backoff{Base: 50 * time.Millisecond, Max: 400 * time.Millisecond}

// Follower reads a feed continuously, to keep a copy of all rows with a prefix.
type Follower struct {
	Feed   Feed
	Prefix string
	Log    zerolog.Logger
	// Wait is the time between two responses of a feed without changes; 0 means one second.
	Wait time.Duration
	// MinInterval returns the minimum time between two reads, less than Wait, so
	// that one read returns several frequent changes. May be nil.
	MinInterval func() time.Duration
	// OnRow receives each row of a snapshot and each written row. It replaces
	// OnSnapshot and OnChanges for followers that ignore removed rows.
	OnRow func(Row)
	// OnSnapshot receives all rows as of the version or later. Other rows do not exist.
	OnSnapshot func(rows []Row, version uint64)
	// OnChanges receives changed rows in order. Older versions of rows may be repeated.
	OnChanges func(changes []Change)
	// OnRecovery is called before the first rows after a failure. May be nil.
	OnRecovery func()
	// OnSuccess is called after each successful read, and OnFailure after each failed one. May be nil.
	OnSuccess func()
	OnFailure func()
}

// Follow reads the feed and calls the callbacks of f until ctx ends.
func Follow(ctx context.Context, f Follower) {
	version, haveSnapshot, failures := uint64(0), false, 0
	for ctx.Err() == nil {
		started, interval := time.Now(), f.interval()
		next, err := f.read(ctx, version, haveSnapshot, failures > 0)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryTruncated):
			f.Log.Warn().Str("prefix", f.Prefix).Uint64("version", version).Msg("feed history truncated; reading a new snapshot")
			haveSnapshot = false
		case err != nil:
			if failures == 0 {
				f.Log.Warn().Err(err).Str("prefix", f.Prefix).Uint64("version", version).Msg("feed read failed; retrying")
			}
			if f.OnFailure != nil {
				f.OnFailure()
			}
			feedBackoff.Wait(ctx, failures)
			failures++
		default:
			if failures > 0 {
				f.Log.Info().Str("prefix", f.Prefix).Uint64("version", next).Int("failures", failures).Msg("feed recovered")
			}
			version, haveSnapshot, failures = next, true, 0
			pause.For(ctx, interval-time.Since(started))
		}
	}
}

func (f *Follower) read(ctx context.Context, version uint64, haveSnapshot, recovering bool) (uint64, error) {
	if !haveSnapshot {
		rows, next, err := f.Feed.Snapshot(ctx, f.Prefix)
		if err != nil {
			return 0, err
		}
		f.succeeded(recovering)
		if f.OnRow != nil {
			for _, r := range rows {
				f.OnRow(r)
			}
		} else {
			f.OnSnapshot(rows, next)
		}
		return next, nil
	}
	watch := f.watch
	if recovering {
		watch = f.watchHedged
	}
	changes, next, err := watch(ctx, version)
	if err != nil {
		return 0, err
	}
	f.succeeded(recovering)
	f.deliver(changes)
	return next, nil
}

func (f *Follower) watch(ctx context.Context, version uint64) ([]Change, uint64, error) {
	wait := defaultFeedWait
	if f.Wait > 0 {
		wait = f.Wait
	}
	wait -= f.interval()
	ctx, cancel := context.WithTimeout(ctx, wait+feedTimeoutMargin)
	defer cancel()
	return f.Feed.Watch(ctx, f.Prefix, version, wait)
}

func (f *Follower) interval() time.Duration {
	if f.MinInterval == nil {
		return 0
	}
	return f.MinInterval()
}

// watchHedged reads a feed that has failed. It sends hedged reads that do not
// wait for a change, so that the recovery is detected at once, and returns the
// first successful response, or the last error.
func (f *Follower) watchHedged(ctx context.Context, version uint64) ([]Change, uint64, error) {
	type response struct {
		changes []Change
		next    uint64
		err     error
	}
	ctx, cancel := context.WithTimeout(ctx, hedgeTimeout)
	defer cancel()
	responses := make(chan response, maxHedgedReads)
	sent, pending := 0, 0
	send := func() {
		sent++
		pending++
		go func() {
			changes, next, err := f.Feed.Watch(ctx, f.Prefix, version, 0)
			responses <- response{changes, next, err}
		}()
	}
	send()
	ticker := time.NewTicker(hedgeInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-responses:
			pending--
			if r.err == nil || errors.Is(r.err, ErrHistoryTruncated) || pending == 0 {
				return r.changes, r.next, r.err
			}
		case <-ticker.C:
			if sent < maxHedgedReads {
				send()
			}
		}
	}
}

func (f *Follower) deliver(changes []Change) {
	if f.OnRow == nil {
		if len(changes) > 0 {
			f.OnChanges(changes)
		}
		return
	}
	for _, c := range changes {
		if !c.Removed {
			f.OnRow(c.Row)
		}
	}
}

func (f *Follower) succeeded(recovering bool) {
	if recovering && f.OnRecovery != nil {
		f.OnRecovery()
	}
	if f.OnSuccess != nil {
		f.OnSuccess()
	}
}
