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

// changingList lists an agent that is leaving from leavesAt on.
type changingList struct {
	leavesAt time.Time
	fail     bool // the first read after leavesAt fails
	hang     bool // the first read after leavesAt gets no response
	reads    int
}

func (l *changingList) Instances(ctx context.Context, _ uint64) ([]storage.Instance, uint64, error) {
	l.reads++
	in := storage.Instance{ID: "agent", Role: storage.RoleAgent, State: storage.InstanceLive}
	if time.Now().Before(l.leavesAt) {
		return []storage.Instance{in}, 1, nil
	}
	if l.fail {
		l.fail = false
		return nil, 0, errors.New("response lost")
	}
	if l.hang {
		l.hang = false
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	in.State = storage.InstanceLeaving
	return []storage.Instance{in}, 2, nil
}

// Guards against new work for an upstream more than 3 s after the platform's
// list shows it as leaving, also when one read of the list fails or gets no response. The steps and
// the random jitter place the change at different points of the poll interval.
func TestLeavingIsKnownWithinBound(t *testing.T) {
	const bound = 3 * time.Second
	for step := range 50 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			list := &changingList{leavesAt: time.Now().Add(10*time.Second + time.Duration(step)*40*time.Millisecond), fail: step%3 == 0, hang: step%3 == 1}
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

// Guards against a read rate that increases while the platform is unavailable.
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
		if most := 130; down.reads > most { // 100 at the mean interval, 125 at the shortest
			t.Errorf("%d reads, want at most %d", down.reads, most)
		}
	})
}

type downList struct{ reads int }

func (l *downList) Instances(context.Context, uint64) ([]storage.Instance, uint64, error) {
	l.reads++
	return nil, 0, errors.New("down")
}
