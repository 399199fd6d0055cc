package batch_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/batch"
	"github.com/magnoliausher/magnoliausher/peer"
)

// Guards against results that clients have read and that a stale owner's handover replaces.
func TestStaleHandoverKeepsListedResults(t *testing.T) {
	store := newStore(t)
	e := newEngine(t, "e")
	e.Interval = 20 * time.Millisecond
	slow := newEngine(t, "slow")
	slow.Interval = time.Hour
	lost := func() []peer.MemberStatus { // a is lost, c lives
		return []peer.MemberStatus{{Member: peer.Member{Name: "a", Incarnation: 1}, LastHeard: time.Now().Add(-time.Minute)},
			{Member: peer.Member{Name: "c"}, LastHeard: time.Now()}}
	}
	var read []batch.Result
	var rows string
	var b *gateway
	// The owner stands still between building the handover and sending it.
	sendLate := func(_ context.Context, _ string, job []byte) error {
		b = start(t, store, "b", 1, lost, e)
		read = awaitResults(t, b, "j", 10*time.Second)
		rows = fmt.Sprint(store.Rows("results"), store.Rows("jobs"))
		return b.TakeOver(job)
	}
	target := func() []peer.MemberStatus {
		return []peer.MemberStatus{{Member: peer.Member{Name: "b", Incarnation: 1}, LastHeard: time.Now()}}
	}
	a := startWithConfig(t, store, "a", 1, target, func(c *batch.Config) { c.HandOver = sendLate }, slow)
	if got := submit(t, a, submission("j", 8, 10)); got != batch.Accepted {
		t.Fatal(got)
	}
	time.Sleep(200 * time.Millisecond)
	a.Release()
	time.Sleep(time.Second)
	if now := fmt.Sprint(store.Rows("results"), store.Rows("jobs")); now != rows {
		t.Error("rows of a complete job changed after a stale handover")
	}
	c := start(t, store, "c", 1, noPeers, e)
	for i, r := range awaitResults(t, c, "j", 2*time.Second) {
		if r != read[i] {
			t.Errorf("position %d: %s was read, now %s", i, read[i].Item, r.Item)
		}
	}
}

// Guards against a listed result that a write from an old state replaces in the store.
func TestResultRowsAreWrittenOnce(t *testing.T) {
	store, e := newStore(t), newEngine(t, "e")
	g := start(t, store, "a", 1, noPeers, e)
	foreign := []byte(`{"Item":"foreign"}` + "\noutput")
	store.Put("results", "batch", "j/000000.000", foreign)
	submit(t, g, submission("j", 1, 10))
	time.Sleep(time.Second)
	if rows := store.Rows("results"); len(rows) != 1 || !bytes.Equal(rows[0].Value, foreign) {
		t.Errorf("%d rows, the first %q", len(rows), rows[0].Value)
	}
}
