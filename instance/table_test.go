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

var start = time.Unix(1_000_000, 0)

func agent(id string, state storage.InstanceState) storage.Instance {
	return storage.Instance{ID: id, Role: storage.RoleAgent, State: state}
}

func member(t *testing.T, table *Table, id string, now time.Time) Member {
	t.Helper()
	m, ok := table.Member(id, now)
	if !ok {
		t.Fatalf("%s is missing", id)
	}
	return m
}

// Guards against new work for a leaving instance that the lagging list still
// shows as live, and against a delayed observation that reverts its leaving
// notice.
func TestLeavingNoticeOverridesList(t *testing.T) {
	table := NewTable(Config{})
	list := []storage.Instance{agent("a", storage.InstanceLive)}
	table.ApplyList(list, 1, start)
	table.Observe("a", Observation{Connected: true, Incarnation: 1}, start)
	if !member(t, table, "a", start).Usable {
		t.Fatal("a live instance is not usable")
	}
	table.Observe("a", Observation{Connected: true, Leaving: true, Incarnation: 1}, start)
	table.ApplyList(list, 2, start)
	table.Observe("a", Observation{Connected: true, Incarnation: 1}, start)
	if m := member(t, table, "a", start); m.Usable || !m.Leaving {
		t.Fatalf("leaving instance: %+v", m)
	}
	table.Observe("a", Observation{Connected: true, Incarnation: 2}, start)
	if !member(t, table, "a", start).Usable {
		t.Fatal("the restarted process is not usable")
	}
}

// Guards against dropping working instances that an incomplete list omits, and
// against using them indefinitely.
func TestUnlistedIsKeptForBoundedTime(t *testing.T) {
	table := NewTable(Config{})
	table.ApplyList([]storage.Instance{agent("a", storage.InstanceLive), agent("b", storage.InstanceLive)}, 1, start)
	table.Observe("a", Observation{Connected: true}, start)
	table.ApplyList([]storage.Instance{}, 2, start)
	if _, ok := table.Member("b", start); ok {
		t.Error("an instance that is neither listed nor linked is present")
	}
	if m := member(t, table, "a", start.Add(DefaultUnlistedRetention-1)); !m.Usable || m.Listed {
		t.Errorf("unlisted instance with a link: %+v", m)
	}
	if _, ok := table.Member("a", start.Add(DefaultUnlistedRetention)); ok {
		t.Error("the unlisted instance was kept beyond the retention time")
	}
	table.Observe("a", Observation{Connected: true, Silent: true}, start)
	if _, ok := table.Member("a", start); ok {
		t.Error("the unlisted instance was kept although its link is silent")
	}
}

// Guards against full load on a newly started process, and against a slow start
// of the whole fleet when this process starts.
func TestSlowStartOfNewInstance(t *testing.T) {
	table := NewTable(Config{})
	old := agent("old", storage.InstanceLive)
	table.ApplyList([]storage.Instance{old}, 1, start)
	table.ApplyList([]storage.Instance{old, agent("new", storage.InstanceLive)}, 2, start)
	table.Observe("old", Observation{Connected: true, Incarnation: 1}, start)
	for _, c := range []struct {
		id    string
		after time.Duration
		want  float64
	}{
		{"old", 0, 1}, {"new", 0, 0.1}, {"new", DefaultSlowStart / 2, 0.55}, {"new", DefaultSlowStart, 1},
	} {
		got := member(t, table, c.id, start.Add(c.after)).Weight
		if got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%s after %v: weight %v, want %v", c.id, c.after, got, c.want)
		}
	}
	table.Observe("old", Observation{Connected: true, Incarnation: 2}, start.Add(time.Hour))
	if w := member(t, table, "old", start.Add(time.Hour)).Weight; w > 0.11 {
		t.Errorf("weight %v after a restart", w)
	}
}

// failingList fails every second read.
type failingList struct{ reads int }

func (l *failingList) Instances(_ context.Context, _ uint64) ([]storage.Instance, uint64, error) {
	l.reads++
	if l.reads%2 == 0 {
		return nil, 0, errors.New("unavailable")
	}
	return []storage.Instance{agent("a", storage.InstanceLive)}, uint64(l.reads), nil
}

// Guards against polling that stops or drops the list after an error.
func TestPollKeepsListDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table, list := NewTable(Config{}), new(failingList)
		done := make(chan error)
		go func() { done <- table.Poll(ctx, list, zerolog.Nop()) }()
		time.Sleep(time.Minute)
		synctest.Wait()
		// Two reads take 1.6 to 2.4 s: a mean of 1.5 s after a success and 0.5 s
		// after a failure, with 20 % jitter.
		if list.reads < 49 || list.reads > 77 {
			t.Errorf("%d reads in a minute", list.reads)
		}
		if _, ok := table.Member("a", time.Now()); !ok {
			t.Error("the list was lost")
		}
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// Guards against an entry that starts during a platform outage and knows no
// instances, and against instances from peers that remain after the platform's
// list has been read.
func TestPeersReplaceListUntilItIsRead(t *testing.T) {
	table := NewTable(Config{})
	table.ApplyPeers(nil, start)
	if table.ListCount() != 0 {
		t.Error("an empty peer list is counted as a list")
	}
	table.ApplyPeers([]storage.Instance{agent("a", storage.InstanceLive), agent("old", storage.InstanceLive)}, start)
	if m := member(t, table, "old", start); !m.Listed || !m.Usable || table.Loaded() || table.Revision() != 0 {
		t.Errorf("%+v, loaded %v, revision %d", m, table.Loaded(), table.Revision())
	}
	table.ApplyList([]storage.Instance{agent("a", storage.InstanceLeaving)}, 7, start)
	if _, ok := table.Member("old", start); ok || !table.Loaded() {
		t.Error("an instance that is not in the platform's list was kept")
	}
	table.ApplyPeers([]storage.Instance{agent("a", storage.InstanceLive)}, start)
	if m := member(t, table, "a", start); !m.Leaving || table.ListCount() != 2 {
		t.Errorf("peers replaced the platform's list: %+v", m)
	}
}
