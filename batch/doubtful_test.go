package batch

import (
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/storage"
)

// Guards against an item resumed after events that an upstream sent as another software
// version than the list named then.
func TestProgressDoubtfulAfterReplacement(t *testing.T) {
	record := func(version uint64, started int64, software string) fleet.Record {
		return fleet.Record{Version: version, Upstream: fleet.Upstream{ID: "e2", Service: "llm", Started: started, SoftwareVersion: software}}
	}
	gone := fleet.Record{Version: 3, Removed: true, Upstream: fleet.Upstream{ID: "e2"}}
	for _, c := range []struct {
		name     string
		next     []fleet.Record
		doubtful bool
	}{
		{"restarted with another version", []fleet.Record{record(2, 200, "v2")}, true},
		{"restarted with the same version", []fleet.Record{record(2, 200, "v1")}, false},
		{"not restarted", []fleet.Record{record(2, 100, "v1")}, false},
		{"gone", []fleet.Record{gone}, false},
		{"restarted with another version, then gone", []fleet.Record{record(2, 200, "v2"), gone}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := fleet.NewHolder()
			first := record(1, 100, "v1")
			h.Apply([]fleet.Record{first}, time.Now())
			var g itemProgress
			if err := g.addEvent(parseEvent(t, "id: 1\ndata: text\n\n"), &first.Upstream); err != nil {
				t.Fatal(err)
			}
			if g.doubtful(h.View()) {
				t.Error("doubtful before the list changed")
			}
			h.Apply(c.next, time.Now())
			p, _ := g.snapshot()
			_, saved, err := decodeProgress("j", storage.Row{Key: progressKey("j", 0), Value: encodeProgress(&p)})
			if err != nil {
				t.Fatal(err)
			}
			if got := g.doubtful(h.View()); got != c.doubtful {
				t.Errorf("doubtful is %v", got)
			}
			if got := saved.doubtful(h.View()); got != c.doubtful {
				t.Errorf("doubtful is %v after a checkpoint", got)
			}
		})
	}
}
