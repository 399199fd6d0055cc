package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// Guards against running a job that was refused, after a commit without an answer that
// conflicts with itself through a peer.
func TestJobRefusedAfterRelayedCommitNeverRuns(t *testing.T) {
	d := newDeployment(t, 2)
	d.eventually("a peer that reaches the store", func() bool {
		members := d.gateways[0].exchange.Members()
		return len(members) == 1 && members[0].StoreReached
	})
	job := platformtest.EncodeJob("item", "/notes/x", 1, 10)
	d.store.RefuseReads(true)
	d.store.LoseResponses(1)
	r := d.gateways[0].send("POST", "/notes/j", "job1", job)
	d.store.RefuseReads(false)
	time.Sleep(time.Second) // several rounds of starting jobs
	runs := 0
	for _, e := range d.engines {
		runs += e.Runs("item-0")
	}
	if r.status != http.StatusAccepted && r.status != http.StatusGatewayTimeout {
		t.Errorf("answered %d, and the item ran %d times", r.status, runs)
	}
	if runs == 0 {
		t.Errorf("answered %d, and the commit had no effect", r.status)
	}
	if r := d.gateways[1].send("POST", "/notes/j", "job1", job); r.status != http.StatusAccepted {
		t.Errorf("again: %+v", r)
	}
}
