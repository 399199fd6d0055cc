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

// Guards against items that restart from the beginning after their process is lost.
func TestProgressSurvivesOwnerLoss(t *testing.T) {
	store := newStore(t)
	e := newEngine(t, "e")
	e.Events, e.Interval = 300, 10*time.Millisecond
	a := start(t, store, "a", 1, noPeers, e)
	if got := submit(t, a, submission("j/1", 3, 10)); got != batch.Accepted {
		t.Fatal(got)
	}
	time.Sleep(2 * time.Second) // no item is done, and each has a checkpoint
	a.kill()
	restarted := start(t, store, "a", 2, noPeers, e)
	checkDone(t, awaitResults(t, restarted, "j/1", 10*time.Second), "j/1", 3, e.Events)
	for _, item := range submission("j/1", 3, 10).Items {
		if e.Resumed(item.ID) == 0 || e.Runs(item.ID) != 1 {
			t.Errorf("%s started %d times and resumed %d times", item.ID, e.Runs(item.ID), e.Resumed(item.ID))
		}
	}
}

// Guards against a malformed checkpoint that prevents its job from completing.
func TestBadCheckpoint(t *testing.T) {
	store, e := newStore(t), newEngine(t, "e")
	for key, value := range map[string]string{"000000": "no JSON", "000001": `{"LastID":"7"}` + "\nx", "000099": `{"LastID":"7","Events":7}` + "\nx", "x": "{}\n"} {
		store.Put("progress", "j", key, []byte(value))
	}
	silent := newEngine(t, "silent")
	silent.Interval = time.Hour
	a := start(t, store, "a", 1, noPeers, silent)
	submit(t, a, submission("j", 2, 10))
	b := start(t, store, "b", 1, func() []peer.MemberStatus { return nil }, e)
	a.kill()
	checkDone(t, awaitResults(t, b, "j", 10*time.Second), "j", 2, e.Events)
}

// handOverTo returns a HandOver function that passes jobs to a gateway in the same process.
func handOverTo(to func() *gateway) func(context.Context, string, []byte) error {
	return func(_ context.Context, _ string, job []byte) error { return to().TakeOver(job) }
}

// Guards against items that restart from the beginning, finished items that run
// again and jobs that stall, when their owner shuts down during a store outage.
func TestHandoverWithoutStore(t *testing.T) {
	store := newStore(t)
	e := newEngine(t, "e")
	e.Events, e.StallAfter = 100, map[string]int{"j-2": 50}
	var b *gateway
	members := func() []peer.MemberStatus {
		return []peer.MemberStatus{{Member: peer.Member{Name: "b", Incarnation: 1}, LastHeard: time.Now()}}
	}
	a := startWithConfig(t, store, "a", 1, members, func(c *batch.Config) { c.HandOver = handOverTo(func() *gateway { return b }) }, e)
	var mu sync.Mutex
	var announced []int
	b = startWithConfig(t, store, "b", 1, noPeers, func(c *batch.Config) {
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
	for e.Stalled() < 1 || e.Running() > 1 { // two items are finished but cannot be listed, one has 50 events
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	a.Release()
	time.Sleep(time.Second)
	store.FailWith(0)
	checkDone(t, awaitResults(t, b, "j", 3*time.Second), "j", 3, e.Events)
	for _, item := range submission("j", 3, 10).Items {
		if e.Runs(item.ID) != 1 {
			t.Errorf("%s started %d times, want 1", item.ID, e.Runs(item.ID))
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(announced) < 2 || announced[0] != 1 || announced[len(announced)-1] != 0 {
		t.Errorf("numbers of jobs announced as taken over: %v, want 1 first and 0 last", announced)
	}
}

// Guards against a job that no gateway runs because its row has changed since
// the handover.
func TestHandoverOfAnOlderRow(t *testing.T) {
	store := newStore(t)
	e := newEngine(t, "e")
	e.Events, e.StallAfter = 100, map[string]int{"j-0": 50, "j-1": 50}
	var offered []byte
	loseAnswer := func(_ context.Context, _ string, job []byte) error {
		offered = job
		return errors.New("the answer is lost")
	}
	members := func() []peer.MemberStatus {
		return []peer.MemberStatus{{Member: peer.Member{Name: "b", Incarnation: 1}, LastHeard: time.Now()}}
	}
	a := startWithConfig(t, store, "a", 1, members, func(c *batch.Config) { c.HandOver = loseAnswer }, e)
	submit(t, a, submission("j", 2, 10))
	for e.Stalled() < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	a.Release() // clears the owner in the store, which creates a newer row
	b := start(t, store, "b", 1, noPeers, e)
	if err := b.TakeOver(offered); err != nil {
		t.Fatal(err)
	}
	checkDone(t, awaitResults(t, b, "j", 5*time.Second), "j", 2, e.Events)
	for _, item := range submission("j", 2, 10).Items {
		if e.Runs(item.ID) != 1 {
			t.Errorf("%s started %d times, want 1", item.ID, e.Runs(item.ID))
		}
	}
	if err := b.TakeOver([]byte(`{"Job":{"ID":"k"}}`)); err == nil {
		t.Error("a handover without the job's items was accepted")
	}
}
