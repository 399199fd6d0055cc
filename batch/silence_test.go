package batch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/batch"
	"github.com/magnoliausher/magnoliausher/peer"
)

// Guards against starting the work of a gateway that is silent for a while elsewhere
// before the stated time of 1.5 s, against giving items up, and against results that
// are listed twice while both gateways run a job.
func TestSilentOwner(t *testing.T) {
	const statedSilence = 1500 * time.Millisecond
	for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint(silence), func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			own, other := newEngine(t, "own"), newEngine(t, "other")
			own.Events, other.Events = 60, 60
			own.Interval, other.Interval = 100*time.Millisecond, 100*time.Millisecond
			a := start(t, store, "a", 1, noPeers, own)
			if got := submit(t, a, submission("j", 4, 10)); got != batch.Accepted {
				t.Fatal(got)
			}
			time.Sleep(500 * time.Millisecond)
			began := time.Now()
			b := start(t, store, "b", 1, func() []peer.MemberStatus {
				heard := time.Now()
				if heard.Sub(began) < silence {
					heard = began
				}
				return []peer.MemberStatus{{Member: peer.Member{Name: "a", Incarnation: 1}, LastHeard: heard},
					{Member: peer.Member{Name: "c", Incarnation: 1}, LastHeard: time.Now(), Leaving: true}}
			}, other)
			started := make(chan time.Duration, 1)
			go func() {
				for time.Since(began) < 10*time.Second {
					if runs, _ := other.RunStats(); runs > 0 || other.Running() > 0 {
						started <- time.Since(began)
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
				close(started)
			}()
			results := awaitResults(t, b, "j", 20*time.Second)
			checkDone(t, results, "j", 4, 60)
			time.Sleep(500 * time.Millisecond)
			if rows := store.Rows("results"); len(rows) != 4 {
				t.Errorf("%d result rows, want 4", len(rows))
			}
			for i, r := range awaitResults(t, a, "j", 2*time.Second) {
				if r != results[i] {
					t.Errorf("position %d differs between the gateways", i)
				}
			}
			if after, ok := <-started; ok && after < statedSilence {
				t.Errorf("work started elsewhere %v into a silence of %v", after, silence)
			} else if ok && silence < statedSilence {
				t.Errorf("work started elsewhere after a silence of %v", silence)
			}
		})
	}
}
