package daemon

import (
	"net/http"
	"strings"
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

// Guards against a cancellation that is answered with "never done" and takes effect late.
func TestLateCancellationIsNotRefused(t *testing.T) {
	d := newDeployment(t, 1)
	for _, e := range d.engines {
		e.Interval = 10 * time.Second // the job stays open
	}
	if r := d.gateways[0].send("POST", "/notes/j", "job1", platformtest.EncodeJob("item", "/notes/x", 1, 10)); r.status != http.StatusAccepted {
		t.Fatalf("submission: %+v", r)
	}
	const delay = 4 * time.Second // until after the answer
	d.store.DelayCommits(1000, delay)
	r := d.gateways[0].send("DELETE", platformtest.ResultsPath("job1", 0), nextID(), "")
	d.store.DelayCommits(0, 0)
	if r.status != http.StatusGatewayTimeout {
		t.Errorf("answered %d", r.status)
	}
	d.eventually("job ended late", func() bool {
		rows := d.store.Rows("jobs")
		return len(rows) > 0 && strings.Contains(string(rows[0].Value), `"Ended":true`)
	})
}
