package batch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/batch"
	"github.com/magnoliausher/magnoliausher/peer"
)

// Guards against items that begin anew when the process that ran them is lost.
func TestProgressOutlivesOwner(t *testing.T) {
	store := newStore(t)
	e := engine(t, "e")
	e.Events, e.Interval = 300, 10*time.Millisecond
	a := start(t, store, "a", 1, nobody, e)
	if got := submit(t, a, submission("j/1", 3, 10)); got != batch.Accepted {
		t.Fatal(got)
	}
	time.Sleep(2 * time.Second) // no item is done, each has been saved
	a.kill()
	again := start(t, store, "a", 2, nobody, e)
	checkDone(t, await(t, again, "j/1", 10*time.Second), "j/1", 3, e.Events)
	for _, item := range submission("j/1", 3, 10).Items {
		if e.Resumed(item.ID) == 0 || e.Runs(item.ID) != 1 {
			t.Errorf("%s began %d times and went on %d times", item.ID, e.Runs(item.ID), e.Resumed(item.ID))
		}
	}
}

// Guards against a checkpoint that is not understood and keeps its job from
// being done.
func TestBadCheckpoint(t *testing.T) {
	store, e := newStore(t), engine(t, "e")
	for key, value := range map[string]string{"000000": "no JSON", "000001": `{"LastID":"7"}` + "\nx", "000099": `{"LastID":"7","Events":7}` + "\nx", "x": "{}\n"} {
		store.Put("progress", "j", key, []byte(value))
	}
	silent := engine(t, "silent")
	silent.Interval = time.Hour
	a := start(t, store, "a", 1, nobody, silent)
	submit(t, a, submission("j", 2, 10))
	b := start(t, store, "b", 1, func() []peer.MemberStatus { return nil }, e)
	a.kill()
	checkDone(t, await(t, b, "j", 10*time.Second), "j", 2, e.Events)
}

// direct hands jobs to a gateway in the same process.
func direct(to func() *gateway) func(context.Context, string, []byte) error {
	return func(_ context.Context, _ string, job []byte) error { return to().TakeOver(job) }
}

// Guards against items that begin anew, finished ones that run again and jobs
// that stand still, when their owner shuts down while the store is away.
func TestHandoverWithoutStore(t *testing.T) {
	store := newStore(t)
	e := engine(t, "e")
	e.Events, e.StallAfter = 100, map[string]int{"j-2": 50}
	var b *gateway
	members := func() []peer.MemberStatus {
		return []peer.MemberStatus{{Member: peer.Member{Name: "b", Incarnation: 1}, LastHeard: time.Now()}}
	}
	a := startConfigured(t, store, "a", 1, members, func(c *batch.Config) { c.HandOver = direct(func() *gateway { return b }) }, e)
	var mu sync.Mutex
	var announced []int
	b = startConfigured(t, store, "b", 1, nobody, func(c *batch.Config) {
		c.AnnounceTakenOver = func(jobs []uint64) {
			mu.Lock()
			defer mu.Unlock()
			announced = append(announced, len(jobs))
		}
	}, e)
	if got := submit(t, a, submission("j", 3, 10)); got != batch.Accepted {
		t.Fatal(got)
	}
	store.FailWith(503)
	for e.Stalled() < 1 || e.Running() > 1 { // two items are finished and cannot be listed, one has had 50 events
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	a.Release()
	time.Sleep(time.Second)
	store.FailWith(0)
	checkDone(t, await(t, b, "j", 3*time.Second), "j", 3, e.Events)
	for _, item := range submission("j", 3, 10).Items {
		if e.Runs(item.ID) != 1 {
			t.Errorf("%s began %d times", item.ID, e.Runs(item.ID))
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(announced) < 2 || announced[0] != 1 || announced[len(announced)-1] != 0 {
		t.Errorf("jobs announced as taken over: %v", announced)
	}
}

// Guards against a job that is lost between two gateways because its row has
// changed since it was handed over.
func TestHandoverOfAnOlderRow(t *testing.T) {
	store := newStore(t)
	e := engine(t, "e")
	e.Events, e.StallAfter = 100, map[string]int{"j-0": 50, "j-1": 50}
	var handed []byte
	lose := func(_ context.Context, _ string, job []byte) error {
		handed = job
		return errors.New("the answer is lost")
	}
	members := func() []peer.MemberStatus {
		return []peer.MemberStatus{{Member: peer.Member{Name: "b", Incarnation: 1}, LastHeard: time.Now()}}
	}
	a := startConfigured(t, store, "a", 1, members, func(c *batch.Config) { c.HandOver = lose }, e)
	submit(t, a, submission("j", 2, 10))
	for e.Stalled() < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	a.Release() // gives the job back in the store, which is a newer row
	b := start(t, store, "b", 1, nobody, e)
	if err := b.TakeOver(handed); err != nil {
		t.Fatal(err)
	}
	checkDone(t, await(t, b, "j", 5*time.Second), "j", 2, e.Events)
	for _, item := range submission("j", 2, 10).Items {
		if e.Runs(item.ID) != 1 {
			t.Errorf("%s began %d times", item.ID, e.Runs(item.ID))
		}
	}
	if err := b.TakeOver([]byte(`{"Job":{"ID":"k"}}`)); err == nil {
		t.Error("a job without its items is taken over")
	}
}
