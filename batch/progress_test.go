package batch_test

import (
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
	b := start(t, store, "b", 1, func() []peer.Seen { return nil }, e)
	a.kill()
	checkDone(t, await(t, b, "j", 10*time.Second), "j", 2, e.Events)
}
