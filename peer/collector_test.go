package peer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against a data centre for which nobody speaks, or many do, though its
// gateways see the same members.
func TestRolesAgree(t *testing.T) {
	now := time.Now()
	properties := gopter.NewProperties(nil)
	properties.Property("one speaker, one stand-in", prop.ForAll(func(ages, since []int, leaving []bool) bool {
		var members []candidate
		for i := range min(len(ages), len(since), len(leaving)) {
			members = append(members, candidate{Name: fmt.Sprint("g", i), Heard: now.Add(-time.Duration(ages[i]) * time.Millisecond),
				Since: now.Add(-time.Duration(since[i]) * time.Millisecond), Leaving: leaving[i]})
		}
		count, alive := map[role]int{}, 0
		for i, m := range members {
			if now.Sub(m.Heard) > collectorSilence {
				continue
			}
			alive++
			count[roleOf(m, slices.Delete(slices.Clone(members), i, i+1), now)]++
		}
		return count[speaker] == min(alive, 1) && count[standIn] == min(max(alive-1, 0), 1)
	}, gen.SliceOf(gen.IntRange(0, 1200)), gen.SliceOf(gen.IntRange(0, 2000)), gen.SliceOf(gen.Bool())))
	properties.TestingRun(t)
}

// Guards against a data centre that is spoken for by a gateway that shuts down
// or that does not know the others yet, while one that does is there.
func TestSettledGatewaysSpeak(t *testing.T) {
	now := time.Now()
	settled := candidate{Name: "a", Heard: now, Since: now.Add(-time.Minute)}
	for name, other := range map[string]candidate{
		"leaving": {Heard: now, Since: now.Add(-time.Minute), Leaving: true},
		"new":     {Heard: now, Since: now.Add(-settleTime / 2)},
		"silent":  {Heard: now.Add(-time.Second), Since: now.Add(-time.Minute)},
	} {
		for i := range 20 { // whatever the order of the names
			other.Name = fmt.Sprint("o", i)
			if r := roleOf(settled, []candidate{other}, now); r != speaker {
				t.Errorf("beside a %s gateway: role %d", name, r)
			}
		}
	}
}

// Guards against data centres that stop telling each other when the collectors
// they know are gone, and against bytes to every gateway while they are there.
func TestFarReceivers(t *testing.T) {
	now := time.Now()
	fresh, old := now.Add(-500*time.Millisecond), now.Add(-2*time.Second)
	all := []receiver{
		{Address: "y1", DataCentre: "y", Collector: true, Heard: fresh}, {Address: "y2", DataCentre: "y", Heard: fresh},
		{Address: "z1", DataCentre: "z", Collector: true, Heard: old}, {Address: "z2", DataCentre: "z", Heard: fresh},
		{Address: "v1", DataCentre: "v"}, // known from its row only
	}
	if got, want := farReceivers(all, now), []string{"y1", "z1", "z2", "v1"}; !slices.Equal(got, want) {
		t.Errorf("told %v, want %v", got, want)
	}
}
