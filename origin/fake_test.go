package origin

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/storage"
)

// fakeTable is a table in memory.
type fakeTable struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]storage.Row
	fails   bool
}

// begin locks the table after the time that a call takes.
func (f *fakeTable) begin() error {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	if f.fails {
		return storage.ErrUnavailable
	}
	return nil
}

func (f *fakeTable) Get(_ context.Context, key string) (storage.Row, error) {
	err := f.begin()
	defer f.mu.Unlock()
	row, found := f.rows[key]
	if err == nil && !found {
		err = storage.ErrNotFound
	}
	return row, err
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	err := f.begin()
	defer f.mu.Unlock()
	var list []storage.Row
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(list) < limit {
			list = append(list, f.rows[key])
		}
	}
	return list, err
}

func (f *fakeTable) Commit(_ context.Context, tx storage.Transaction) ([]uint64, error) {
	err := f.begin()
	defer f.mu.Unlock()
	w := tx.Writes[0]
	if err == nil && !w.Always && f.rows[w.Key].Version != w.IfVersion {
		err = storage.ErrConflict
	}
	if err != nil {
		return nil, err
	}
	f.version++
	if f.rows == nil {
		f.rows = make(map[string]storage.Row)
	}
	f.rows[w.Key] = storage.Row{Key: w.Key, Version: f.version, Value: w.Value}
	if w.Delete {
		delete(f.rows, w.Key)
	}
	return []uint64{f.version}, nil
}

func (f *fakeTable) has(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[key].Version > 0
}

func (f *fakeTable) setFails(fails bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fails = fails
}

// registered returns the versions in the row.
func (f *fakeTable) registered() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions, _ := decodeVersions(f.rows[rowKey("s")].Value)
	return versions
}

// fakePeers gives set answers.
type fakePeers struct {
	announced []Stream
	answers   []Answer
	silent    bool // another gateway is not heard
}

func (f *fakePeers) Announce(streams []Stream) { f.announced = append(f.announced, streams...) }

func (f *fakePeers) AllHeard() bool { return !f.silent }

func (f *fakePeers) Find(context.Context, string, Key) []Answer { return slices.Clone(f.answers) }

// gateway is a tracker with its list of upstreams, which has one upstream of each version.
type gateway struct {
	*Tracker
	holder  *fleet.Holder
	removes atomic.Bool // obsolete versions
	list    uint64
	stop    func()
}

func newGateway(t *testing.T, rows storage.Table, peers Peers, versions ...string) *gateway {
	g := &gateway{holder: fleet.NewHolder()}
	g.holder.Configure(fleet.NewConfiguration(1, []fleet.Route{{Name: "r", Host: "h", Prefix: "/", Kind: fleet.Stream, Resumable: true,
		Targets: []fleet.Target{{Service: "s", Weight: 1}}}}, fleet.Limits{}))
	g.use(versions...)
	registry := &Registry{Rows: rows, Holder: g.holder, Log: zerolog.Nop(), RemovesObsolete: func() bool { return g.removes.Load() }}
	g.Tracker = NewTracker(registry, peers, zerolog.Nop())
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { registry.Run(ctx) })
	g.stop = func() {
		stop()
		running.Wait()
	}
	t.Cleanup(g.stop)
	return g
}

// upstreamStart is the start of upstreams: a second after that of a test.
const upstreamStart = 946684801000

func upstreamOf(version string) *fleet.Upstream {
	return &fleet.Upstream{ID: "u-" + version, Service: "s", Slots: 1, Started: upstreamStart, SoftwareVersion: version}
}

// use replaces the list of upstreams.
func (g *gateway) use(versions ...string) {
	g.list++
	var records []fleet.Record
	for _, v := range versions {
		records = append(records, fleet.Record{Upstream: *upstreamOf(v), Version: g.list})
	}
	g.holder.Replace(records, g.list, time.Now())
}

// admits reports whether streams may begin at a listed version.
func (g *gateway) admits(version string) bool {
	admitted, _ := g.registry.Admitted("s")
	return admitted == nil || admitted(upstreamOf(version))
}

// fakeNetwork connects gateways. It loses three of ten messages.
type fakeNetwork struct {
	mu       sync.Mutex
	random   *rand.Rand
	gateways []*gateway
}

// node is the place of a gateway in a network.
type node struct {
	*fakeNetwork
	index int
}

// reached returns the gateways that a message for a key to a number of others reaches.
func (n *node) reached(key Key, count int) (list []*gateway) {
	n.mu.Lock()
	defer n.mu.Unlock()
	others := len(n.gateways) - 1
	for i := range count {
		if n.random.IntN(10) >= 3 {
			list = append(list, n.gateways[(n.index+1+(int(key%16)+i)%others)%(others+1)])
		}
	}
	return list
}

func (n *node) Announce(streams []Stream) {
	for _, s := range streams {
		for _, g := range n.reached(s.Key, 2) {
			g.Learn([]Stream{s})
		}
	}
}

func (n *node) AllHeard() bool { return true }

func (n *node) Find(_ context.Context, service string, key Key) []Answer {
	var answers []Answer
	for _, g := range n.reached(key, len(n.gateways)-1) {
		answers = append(answers, g.Answer(service, key))
	}
	return answers
}
