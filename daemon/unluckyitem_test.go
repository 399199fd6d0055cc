package daemon

import (
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// Guards against a sound item that is kept back because several engines crashed while
// they ran it.
func TestItemIsDoneSoonAfterCrashes(t *testing.T) {
	d := newDeployment(t, 1)
	const crashes = 3
	var left atomic.Int32
	left.Store(crashes)
	for _, e := range d.engines[:3] {
		e.DeadlyPart, e.CrashesLeft, e.RestartDelay, e.Store = deadlyPart, &left, 300*time.Millisecond, d.store
	}
	g := d.gateways[0]
	if r := g.send("POST", "/notes/j", "job1", platformtest.EncodePromptJob("item", "/notes/x", 1, 10, deadlyPart)); r.status != 202 {
		t.Fatalf("submission: %+v", r)
	}
	d.eventually("crashes", func() bool { return len(d.crashTimes()) == crashes })
	d.eventually("result", func() bool {
		var page platformtest.ResultsPage
		r := g.send("GET", platformtest.ResultsPath("job1", 0), nextID(), "")
		return json.Unmarshal([]byte(r.body), &page) == nil && len(page.Results) == 1 && page.Results[0].State == "done"
	})
}
