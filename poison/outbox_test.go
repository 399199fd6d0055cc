package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

const (
	reportInterval = 250 * time.Millisecond
	// contactTime is the users' bound on the time until each gateway knows.
	contactTime = 3 * time.Second
	// maxReportBytes keeps a report with its other fields below the size of one packet.
	maxReportBytes = 1600
)

// simulatedGateway exchanges reports like a gateway: with all of its data centre, and,
// if it is a collector, with the collectors of the others.
type simulatedGateway struct {
	table         *Table
	dataCentre    int
	collector     bool
	local, remote *Outbox
}

// simulatedFleet exchanges reports over links that lose a tenth of them.
type simulatedFleet struct {
	gateways []*simulatedGateway
	random   *rand.Rand
	largest  int // bytes of the largest report
}

func newSimulatedFleet(dataCentres, size int) *simulatedFleet {
	f := &simulatedFleet{random: rand.New(rand.NewPCG(1, 2))}
	for dc := range dataCentres {
		for i := range size {
			g := &simulatedGateway{dataCentre: dc, collector: i < 2}
			g.restart()
			f.gateways = append(f.gateways, g)
		}
	}
	return f
}

func (g *simulatedGateway) restart() {
	g.table = NewTable(Config{BlockAfter: 3})
	g.local, g.remote = NewOutbox(g.table), NewOutbox(g.table)
}

func (f *simulatedFleet) round(now time.Time) {
	for _, g := range f.gateways {
		local := g.local.Next(g.collector, now)
		var remote []*rpc.Suspect
		if g.collector {
			remote = g.remote.Next(true, now)
		}
		for _, list := range [][]*rpc.Suspect{local, remote} {
			f.largest = max(f.largest, proto.Size(&rpc.GatewayReport{Suspects: list}))
		}
		for _, other := range f.gateways {
			list := local
			if other.dataCentre != g.dataCentre {
				list = remote
				if !other.collector {
					continue
				}
			}
			if other != g && len(list) > 0 && f.random.IntN(10) > 0 {
				other.table.Merge(list, now)
			}
		}
	}
}

func (f *simulatedFleet) blocked(fp uint64, now time.Time) int {
	n := 0
	for _, g := range f.gateways {
		if g.table.Status(fp, now) == Blocked {
			n++
		}
	}
	return n
}

// Guards against gateways of a large fleet that do not add up crashes that each of them
// saw once, that learn of a block too late, also after a restart, and against reports
// that outgrow a packet.
func TestAllGatewaysLearnOfBlocks(t *testing.T) {
	for _, c := range []struct{ dataCentres, size int }{{3, 2}, {5, 66}} {
		t.Run(fmt.Sprint(c.dataCentres, "x", c.size), func(t *testing.T) {
			f, now := newSimulatedFleet(c.dataCentres, c.size), start
			all := len(f.gateways)
			const deadly = 3
			for id := range uint64(3) {
				seenBy := f.gateways[f.random.IntN(all)]
				var suspects []uint64
				for n := range uint64(40) { // sound parts that happen to be cold
					suspects = append(suspects, 1000*id+n+100)
				}
				for fp := range uint64(deadly) {
					suspects = append(suspects, fp+1)
				}
				seenBy.table.RecordCrash(id+1, suspects, now)
			}
			converge := func(what string) {
				t.Helper()
				for end := now.Add(contactTime); ; now = now.Add(reportInterval) {
					n := 0
					for fp := range uint64(deadly) {
						n += f.blocked(fp+1, now)
					}
					if n == deadly*all {
						return
					}
					if now.After(end) {
						t.Fatalf("%s: %d of %d gateways block each part after %v", what, n/deadly, all, contactTime)
					}
					f.round(now)
				}
			}
			converge("crashes at three gateways")
			for range 20 {
				now = now.Add(reportInterval)
				f.round(now)
			}
			for i, g := range f.gateways {
				if i%3 == 0 {
					g.restart()
				}
			}
			converge("a third restarted")
			for _, g := range f.gateways[:c.size] {
				g.restart()
			}
			converge("a data centre restarted")
			f.gateways[all-1].table.RecordSound(&Subject{Parts: []Part{{Fingerprint: 1}}}, now)
			for end := now.Add(contactTime); f.blocked(1, now) > 0; now = now.Add(reportInterval) {
				if now.After(end) {
					t.Fatalf("%d gateways still block a part that is sound", f.blocked(1, now))
				}
				f.round(now)
			}
			if f.largest > maxReportBytes {
				t.Errorf("a report has %d bytes, want at most %d", f.largest, maxReportBytes)
			}
		})
	}
}

// Guards against changes that are lost because more happen than reports can carry, and
// against an outbox that grows without limit.
func TestOutboxSendsAllChanges(t *testing.T) {
	table := NewTable(Config{BlockAfter: 3})
	o, sent := NewOutbox(table), make(map[uint64]bool)
	const changes = 200
	for n := range uint64(changes) {
		table.RecordCrash(n, []uint64{n + 1}, start)
	}
	for round := range changes * changeRepeats / maxReportRecords {
		for _, s := range o.Next(false, start) {
			sent[s.Fingerprint] = true
		}
		if round == changes/maxReportRecords && len(sent) != changes {
			t.Errorf("%d of %d changes sent once", len(sent), changes)
		}
	}
	if len(o.pending) != 0 || len(o.Next(false, start)) != 0 {
		t.Errorf("%d changes pending", len(o.pending))
	}
	for n := range uint64(2 * maxOutboxRecords) {
		table.RecordCrash(n, []uint64{n + 10_000}, start)
	}
	o.Next(false, start)
	if len(o.pending) > maxOutboxRecords {
		t.Errorf("%d changes pending, want at most %d", len(o.pending), maxOutboxRecords)
	}
}

// Guards against reports filled with requests that hardly caused a crash, and against
// never reporting one that was running at two.
func TestLateCrashesAreReportedFromTheSecondOn(t *testing.T) {
	table := NewTable(Config{BlockAfter: 3})
	o := NewOutbox(table)
	table.RecordLateCrash(1, []uint64{fp}, start)
	if list := o.Next(true, start); len(list) != 0 {
		t.Errorf("after one crash: %v", list)
	}
	table.RecordLateCrash(2, []uint64{fp}, start)
	if list := o.Next(false, start); len(list) != 1 {
		t.Errorf("after two crashes: %v", list)
	}
}
