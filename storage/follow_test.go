package storage

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// scriptedFeed answers in turn and then ends the follower.
type scriptedFeed struct {
	stop    context.CancelFunc
	answers []error // of Watch; nil brings one change
	watches int
	reads   int // snapshots
}

func (f *scriptedFeed) Snapshot(context.Context, string) ([]Row, uint64, error) {
	f.reads++
	return []Row{{Key: "p/t/a", Version: 1}}, 1, nil
}

func (f *scriptedFeed) Watch(_ context.Context, _ string, after uint64, _ time.Duration) ([]Change, uint64, error) {
	if f.watches == len(f.answers) {
		f.stop()
		return nil, after, nil
	}
	err := f.answers[f.watches]
	f.watches++
	if err != nil {
		return nil, 0, err
	}
	return []Change{{Row: Row{Key: "p/t/b", Version: after + 1}}, {Row: Row{Key: "p/t/a"}, Removed: true}}, after + 1, nil
}

// Guards against a copy that misses changes after a failure or a gap in the
// history, and against one that takes itself for current while it is not.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		feed := &scriptedFeed{stop: cancel, answers: []error{nil, errors.New("down"), errors.New("down"), nil, ErrHistoryTruncated, nil}}
		var snapshots, changes, fresh, stale, returned int
		Follow(ctx, Follower{Feed: feed, Prefix: "p/t/", Log: zerolog.Nop(),
			OnSnapshot: func([]Row, uint64) { snapshots++ }, OnChanges: func(list []Change) { changes += len(list) },
			OnSuccess: func() { fresh++ }, OnFailure: func() { stale++ }, OnRecovery: func() { returned++ }})
		if snapshots != 2 || changes != 6 || stale != 2 || returned != 1 || fresh != 6 { // two snapshots, three changes, and the empty answer at the end
			t.Errorf("%d snapshots, %d changes, fresh %d, stale %d, returned %d", snapshots, changes, fresh, stale, returned)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		rows := 0
		Follow(ctx, Follower{Feed: &scriptedFeed{stop: cancel, answers: []error{nil}}, Log: zerolog.Nop(), OnRow: func(Row) { rows++ }})
		if rows != 2 {
			t.Errorf("%d rows, want the one read and the one written", rows)
		}
	})
}

// waitingFeed answers without changes when the wait is over, and with one change
// for each read until changes of them have been read.
type waitingFeed struct {
	changes int
	waits   []time.Duration
	answers []time.Time
	stop    func()
	most    int
}

func (f *waitingFeed) Snapshot(context.Context, string) ([]Row, uint64, error) { return nil, 1, nil }

func (f *waitingFeed) Watch(_ context.Context, _ string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	f.waits = append(f.waits, wait)
	if len(f.waits) > f.changes {
		time.Sleep(wait)
		after--
	}
	f.answers = append(f.answers, time.Now())
	if len(f.answers) == f.most {
		f.stop()
	}
	return nil, after + 1, nil
}

// Guards against a reader of frequent changes that uses up the store's reads, and
// against a pause between reads that makes the copy look out of date.
func TestFollowInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 300 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		feed := &waitingFeed{changes: 4, most: 8, stop: cancel}
		Follow(ctx, Follower{Feed: feed, Log: zerolog.Nop(), OnRow: func(Row) {}, MinInterval: func() time.Duration { return interval }})
		for i, at := range feed.answers[1:] {
			gap := at.Sub(feed.answers[i])
			if want := map[bool]time.Duration{true: interval, false: feedWait}[i+1 < feed.changes]; gap < interval || gap > want {
				t.Errorf("answer %d after %v, want %v", i+1, gap, want)
			}
		}
	})
}
