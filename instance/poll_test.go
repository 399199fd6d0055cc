package instance

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/storage"
)

// changingList shows an agent that leaves at a time; one read after that fails.
type changingList struct {
	leavesAt time.Time
	fail     bool // the first read after leavesAt fails
	reads    int
}

func (l *changingList) Instances(_ context.Context, _ uint64) ([]storage.Instance, uint64, error) {
	l.reads++
	in := storage.Instance{ID: "agent", Role: storage.RoleAgent, State: storage.InstanceLive}
	if time.Now().Before(l.leavesAt) {
		return []storage.Instance{in}, 1, nil
	}
	if l.fail {
		l.fail = false
		return nil, 0, errors.New("answer lost")
	}
	in.State = storage.InstanceLeaving
	return []storage.Instance{in}, 2, nil
}

// Guards against work for an upstream more than 3 s after the platform's list
// shows it as leaving, also when one read of the list fails. The jitter is
// random, so the change falls at several phases of the interval.
func TestLeavingIsKnownWithinBound(t *testing.T) {
	const bound = 3 * time.Second
	for step := range 50 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			list := &changingList{leavesAt: time.Now().Add(10*time.Second + time.Duration(step)*40*time.Millisecond), fail: step%2 == 0}
			table := NewTable(Config{})
			done := make(chan error)
			go func() { done <- table.Poll(ctx, list, zerolog.Nop()) }()
			time.Sleep(time.Until(list.leavesAt) + bound)
			synctest.Wait()
			if m, ok := table.Member("agent", time.Now()); !ok || !m.Leaving {
				t.Errorf("step %d: leaving is not known after %s", step, bound)
			}
			cancel()
			<-done
		})
	}
}

// Guards against a rate of reads that rises while the platform is down.
func TestOutageDoesNotRaisePollRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := NewTable(Config{})
		table.ApplyList([]storage.Instance{{ID: "agent", Role: storage.RoleAgent}}, 1, time.Now())
		down := &downList{}
		done := make(chan error)
		go func() { done <- table.Poll(ctx, down, zerolog.Nop()) }()
		const outage = 100 * PollInterval
		time.Sleep(outage)
		synctest.Wait()
		cancel()
		<-done
		if most := 130; down.reads > most { // 100 at the mean, 125 at the shortest interval
			t.Errorf("%d reads, want at most %d", down.reads, most)
		}
	})
}

type downList struct{ reads int }

func (l *downList) Instances(context.Context, uint64) ([]storage.Instance, uint64, error) {
	l.reads++
	return nil, 0, errors.New("down")
}
