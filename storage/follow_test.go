package storage

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// scriptedFeed returns the scripted responses in order and then stops the follower.
type scriptedFeed struct {
	stop      context.CancelFunc
	results   []error // of Watch; nil returns a written and a removed row
	watches   int
	snapshots int
}

func (f *scriptedFeed) Snapshot(context.Context, string) ([]Row, uint64, error) {
	f.snapshots++
	return []Row{{Key: "p/t/a", Version: 1}}, 1, nil
}

func (f *scriptedFeed) Watch(_ context.Context, _ string, after uint64, _ time.Duration) ([]Change, uint64, error) {
	if f.watches == len(f.results) {
		f.stop()
		return nil, after, nil
	}
	err := f.results[f.watches]
	f.watches++
	if err != nil {
		return nil, 0, err
	}
	return []Change{{Row: Row{Key: "p/t/b", Version: after + 1}}, {Row: Row{Key: "p/t/a"}, Removed: true}}, after + 1, nil
}

// Guards against a follower that misses changes after a failure or a truncated
// history, and against one that does not report failures and recoveries.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		feed := &scriptedFeed{stop: cancel, results: []error{nil, errors.New("down"), errors.New("down"), nil, ErrHistoryTruncated, nil}}
		var snapshots, changes, successes, failures, recoveries int
		Follow(ctx, Follower{Feed: feed, Prefix: "p/t/", Log: zerolog.Nop(),
			OnSnapshot: func([]Row, uint64) { snapshots++ }, OnChanges: func(list []Change) { changes += len(list) },
			OnSuccess: func() { successes++ }, OnFailure: func() { failures++ }, OnRecovery: func() { recoveries++ }})
		if snapshots != 2 || changes != 6 || failures != 2 || recoveries != 1 || successes != 6 { // two snapshots, three reads with changes, and the empty read at the end
			t.Errorf("%d snapshots, %d changes, %d successes, %d failures, %d recoveries", snapshots, changes, successes, failures, recoveries)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		rows := 0
		Follow(ctx, Follower{Feed: &scriptedFeed{stop: cancel, results: []error{nil}}, Log: zerolog.Nop(), OnRow: func(Row) { rows++ }})
		if rows != 2 {
			t.Errorf("%d rows, want 2: one of the snapshot and one written", rows)
		}
	})
}

// longPollFeed advances the version at once for the given number of reads. Later
// reads return without a change after the wait.
type longPollFeed struct {
	changes  int
	waits    []time.Duration
	returns  []time.Time // when each read returned
	stop     func()      // called after maxReads reads
	maxReads int
}

func (f *longPollFeed) Snapshot(context.Context, string) ([]Row, uint64, error) { return nil, 1, nil }

func (f *longPollFeed) Watch(_ context.Context, _ string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	f.waits = append(f.waits, wait)
	if len(f.waits) > f.changes {
		time.Sleep(wait)
		after--
	}
	f.returns = append(f.returns, time.Now())
	if len(f.returns) == f.maxReads {
		f.stop()
	}
	return nil, after + 1, nil
}

// Guards against a follower of frequent changes that exhausts the store's read
// rate, and against a pause between reads so long that the copy seems stale.
func TestFollowInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 300 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		feed := &longPollFeed{changes: 4, maxReads: 8, stop: cancel}
		Follow(ctx, Follower{Feed: feed, Log: zerolog.Nop(), OnRow: func(Row) {}, MinInterval: func() time.Duration { return interval }})
		for i, at := range feed.returns[1:] {
			gap := at.Sub(feed.returns[i])
			if want := map[bool]time.Duration{true: interval, false: defaultFeedWait}[i+1 < feed.changes]; gap < interval || gap > want {
				t.Errorf("read %d returned after %v, want %v", i+1, gap, want)
			}
		}
	})
}
