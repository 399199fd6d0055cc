package storage

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/pause"
)

const (
	// feedWait is the time between two answers of a feed without changes, unless a
	// follower sets another. It bounds how long a connection that has gone silent
	// stays unnoticed.
	feedWait = time.Second
	// feedSlack is the time that an answer may come after the wait.
	feedSlack = 700 * time.Millisecond
	// returnInterval is when a read of a feed that has failed is repeated beside
	// the first one: a slow store answers within 300 ms, and a read that began while
	// the store was away may have no answer for long after its return.
	returnInterval = 400 * time.Millisecond
	// returnReads and returnTimeout bound these reads; a store that is slower than
	// returnInterval answers the first of them.
	returnReads   = 4
	returnTimeout = 2 * feedSlack
)

// feedBackoff paces reads while the feed fails. Its limit keeps the time to
// notice a returned store well under the second that a configuration may take.
var feedBackoff = Backoff{Base: 50 * time.Millisecond, Max: 400 * time.Millisecond}

// Follower keeps a copy of all rows with a prefix.
type Follower struct {
	Feed   Feed
	Prefix string
	Log    zerolog.Logger
	// Wait is the time between two answers without changes; 0 for feedWait.
	Wait time.Duration
	// MinInterval is the least time between two reads, less than Wait, so that frequent
	// changes are read together. May be nil.
	MinInterval func() time.Duration
	// OnRow receives each row that is read or written, in place of OnSnapshot and
	// OnChanges, where removed rows do not matter.
	OnRow func(Row)
	// OnSnapshot receives all rows as of at least a version; rows not among them are gone.
	OnSnapshot func(rows []Row, version uint64)
	// OnChanges receives changed rows in order. Rows older than those seen may come again.
	OnChanges func(changes []Change)
	// OnRecovery is called before the first rows that come after a failure. May be nil.
	OnRecovery func()
	// OnSuccess is called after each successful read, and OnFailure after each failed one. May be nil.
	OnSuccess func()
	OnFailure func()
}

// Follow runs the follower until ctx ends.
func Follow(ctx context.Context, f Follower) {
	version, known, failures := uint64(0), false, 0
	for ctx.Err() == nil {
		started, interval := time.Now(), f.interval()
		next, err := f.read(ctx, version, known, failures > 0)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryTruncated):
			f.Log.Warn().Str("prefix", f.Prefix).Uint64("version", version).Msg("history is gone; reading all rows")
			known = false
		case err != nil:
			if failures == 0 {
				f.Log.Warn().Err(err).Str("prefix", f.Prefix).Uint64("version", version).Msg("feed lost")
			}
			if f.OnFailure != nil {
				f.OnFailure()
			}
			feedBackoff.Wait(ctx, failures)
			failures++
		default:
			if failures > 0 {
				f.Log.Info().Str("prefix", f.Prefix).Uint64("version", next).Int("failures", failures).Msg("feed regained")
			}
			version, known, failures = next, true, 0
			pause.For(ctx, interval-time.Since(started))
		}
	}
}

func (f *Follower) read(ctx context.Context, version uint64, known, failed bool) (uint64, error) {
	if !known {
		rows, next, err := f.Feed.Snapshot(ctx, f.Prefix)
		if err != nil {
			return 0, err
		}
		f.answered(failed)
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
	if failed {
		watch = f.watchReturn
	}
	changes, next, err := watch(ctx, version)
	if err != nil {
		return 0, err
	}
	f.answered(failed)
	f.changed(changes)
	return next, nil
}

func (f *Follower) watch(ctx context.Context, version uint64) ([]Change, uint64, error) {
	wait := feedWait
	if f.Wait > 0 {
		wait = f.Wait
	}
	wait -= f.interval()
	ctx, cancel := context.WithTimeout(ctx, wait+feedSlack)
	defer cancel()
	return f.Feed.Watch(ctx, f.Prefix, version, wait)
}

func (f *Follower) interval() time.Duration {
	if f.MinInterval == nil {
		return 0
	}
	return f.MinInterval()
}

// watchReturn reads a feed that has failed. Its reads do not wait for a change,
// so that an answer tells at once that the feed is back; the first one counts.
func (f *Follower) watchReturn(ctx context.Context, version uint64) ([]Change, uint64, error) {
	type answer struct {
		changes []Change
		next    uint64
		err     error
	}
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	answers := make(chan answer, returnReads)
	reads, pending := 0, 0
	read := func() {
		reads++
		pending++
		go func() {
			changes, next, err := f.Feed.Watch(ctx, f.Prefix, version, 0)
			answers <- answer{changes, next, err}
		}()
	}
	read()
	ticker := time.NewTicker(returnInterval)
	defer ticker.Stop()
	for {
		select {
		case a := <-answers:
			pending--
			if a.err == nil || errors.Is(a.err, ErrHistoryTruncated) || pending == 0 {
				return a.changes, a.next, a.err
			}
		case <-ticker.C:
			if reads < returnReads {
				read()
			}
		}
	}
}

func (f *Follower) changed(changes []Change) {
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

func (f *Follower) answered(failed bool) {
	if failed && f.OnRecovery != nil {
		f.OnRecovery()
	}
	if f.OnSuccess != nil {
		f.OnSuccess()
	}
}
