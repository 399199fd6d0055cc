package daemon

import (
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// Guards against new requests to an engine that says in its answers that it leaves,
// while the list of engines still has it as ready, is read again, or can't be read.
func TestEngineThatSaysItLeavesGetsNothingNew(t *testing.T) {
	for name, answers := range map[string]platformtest.Fault{"answers": platformtest.NoFault, "refusals": platformtest.Overloaded} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1)
			g, leaving := d.gateways[0], d.engines[0]
			leaving.Store = d.store
			leaving.SetFault(answers)
			leaving.SetLeaving()
			for range 20 { // one of them at least reaches the engine
				g.send("POST", "/ask/x", nextID(), "")
			}
			leaving.SetFault(platformtest.NoFault)
			before, _ := leaving.RunStats()
			send := func(what string) {
				t.Helper()
				for range 20 {
					if r := g.send("POST", "/ask/x", nextID(), ""); r.status != 200 {
						t.Errorf("%s: status %d", what, r.status)
					}
				}
				if after, _ := leaving.RunStats(); after != before {
					t.Errorf("%s: %d new runs at the leaving engine", what, after-before)
				}
			}
			send("listed as ready")
			leaving.Register(d.store, "ready", leaving.Address())
			time.Sleep(200 * time.Millisecond)
			send("registered again")
			d.store.FailWith(503)
			send("store away")
			d.store.FailWith(0)
			leaving.Crash()
			d.eventually("use of the next incarnation", func() bool {
				g.send("POST", "/ask/x", nextID(), "")
				after, _ := leaving.RunStats()
				return after > before
			})
		})
	}
}
