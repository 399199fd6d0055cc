package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/poison"
)

// node is a gateway's exchange on the loopback interface.
type node struct {
	*Exchange
	holder     *fleet.Holder
	dispatcher *dispatch.Dispatcher
	suspects   *poison.Table
	calls      atomic.Int32 // served for peers
	stop       func()
}

func newNode(t *testing.T, name string, incarnation uint64, seeds ...string) *node {
	return newNodeIn(t, soundNetwork{}, "z", name, incarnation, seeds...)
}

// testNetwork gives a node the socket on which it hears datagrams to an address.
type testNetwork interface {
	listen(t *testing.T, address *net.UDPAddr) *net.UDPConn
}

type soundNetwork struct{}

func (soundNetwork) listen(t *testing.T, address *net.UDPAddr) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// badNetwork loses, delays and doubles datagrams.
type badNetwork struct {
	lost, doubled int // percent
	delay         time.Duration
}

func (b badNetwork) listen(t *testing.T, address *net.UDPAddr) *net.UDPConn {
	t.Helper()
	outside := soundNetwork{}.listen(t, address)
	inside := soundNetwork{}.listen(t, &net.UDPAddr{IP: address.IP})
	var passing sync.WaitGroup
	passing.Go(func() {
		buffer := make([]byte, maxDatagram)
		for {
			n, _, err := outside.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			copies := 1
			switch draw := rand.IntN(100); {
			case draw < b.lost:
				copies = 0
			case draw < b.lost+b.doubled:
				copies = 2
			}
			for range copies {
				data := slices.Clone(buffer[:n])
				time.AfterFunc(rand.N(b.delay), func() {
					_, _ = outside.WriteToUDP(data, inside.LocalAddr().(*net.UDPAddr)) // lost like others if the node has gone
				})
			}
		}
	})
	t.Cleanup(func() {
		outside.Close()
		passing.Wait()
	})
	return inside
}

func newNodeIn(t *testing.T, network testNetwork, dataCentre, name string, incarnation uint64, seeds ...string) *node {
	t.Helper()
	n := &node{holder: fleet.NewHolder(), suspects: poison.NewTable(poison.Config{BlockAfter: 3})}
	n.dispatcher = dispatch.New(dispatch.Config{Self: name, DataCentre: dataCentre, Holder: n.holder})
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	n.Exchange = New(Config{Self: Member{Name: name, Incarnation: incarnation, Address: address, DataCentre: dataCentre}, Holder: n.holder,
		Dispatcher: n.dispatcher, Suspects: n.suspects, Log: zerolog.Nop()})
	n.dispatcher.OnChange(n.NotifyChange)
	n.SetSeeds(seeds)
	handler := n.Handler()
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.calls.Add(1)
		handler.ServeHTTP(w, r)
	})
	server.Start()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn := network.listen(t, udp)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx, conn); err != nil {
			t.Error(err)
		}
	}()
	stopped := false
	n.stop = func() {
		if !stopped {
			stopped = true
			cancel()
			<-done
			server.Close()
		}
	}
	t.Cleanup(n.stop)
	return n
}

func (n *node) address() string { return n.cfg.Self.Address }

func eventually(t *testing.T, what string, within time.Duration, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, within)
}

func configure(h *fleet.Holder, version uint64, upstreams ...fleet.Record) {
	h.Configure(fleet.NewConfiguration(version, []fleet.Route{{Name: "r", Host: "h", Prefix: "/"}}, fleet.Limits{}))
	h.Replace(upstreams, 10, time.Now())
}

func upstream(id string) fleet.Record {
	return fleet.Record{Version: 5, Upstream: fleet.Upstream{ID: id, Service: "s", Slots: 2}}
}

// Guards against gateways that do not see each other's work, or count that of
// a process that has gone.
func TestOccupancyReachesPeers(t *testing.T) {
	a := newNode(t, "a", 1)
	b := newNode(t, "b", 1, a.address())
	configure(a.holder, 1, upstream("x"), upstream("y"))
	configure(b.holder, 1, upstream("x"), upstream("y"))
	eventually(t, "members", 2*time.Second, func() bool { return len(a.Members()) == 1 && len(b.Members()) == 1 })
	for range 2 {
		request := &dispatch.Request{Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Second),
			Avoid: map[string]bool{"y": true}}
		if _, err := a.dispatcher.Acquire(t.Context(), request); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "work of a counted by b", time.Second, func() bool {
		g := b.dispatcher.TryAcquireBatch("s")
		if g == nil {
			return false
		}
		defer g.Release(dispatch.Cancelled)
		return g.Upstream.ID == "y"
	})
	a.stop()
	time.Sleep(1300 * time.Millisecond) // over four heartbeats
	if free := b.dispatcher.BatchStartQuota("s", 4); free != 3 {
		t.Errorf("%d slots free after a has gone, want all but the reserve", free)
	}
}

// Guards against a gateway that the store refuses and that keeps an old
// configuration, or sends to an upstream that drains.
func TestStateReachesPeers(t *testing.T) {
	a := newNode(t, "a", 1)
	b := newNode(t, "b", 1, a.address()) // the store answers a alone
	configure(a.holder, 3, upstream("x"))
	eventually(t, "first state", 3*time.Second, func() bool { return b.holder.View().Ready() })
	draining := upstream("x")
	draining.Version, draining.Draining = 20, true
	a.holder.Configure(fleet.NewConfiguration(4, nil, fleet.Limits{}))
	a.holder.Apply([]fleet.Record{draining}, time.Now())
	eventually(t, "newer state", 2*time.Second, func() bool {
		v := b.holder.View()
		return v.Configuration.Version == 4 && len(v.Usable("s")) == 0
	})
	a.holder.MergeState(fleet.State{Version: 2, Listed: true, Records: []fleet.Record{upstream("x")}}, time.Now())
	if v := a.holder.View(); v.Configuration.Version != 4 || len(v.Usable("s")) != 0 {
		t.Error("an older state was taken over")
	}
}

// Guards against gateways that all fetch the state of a peer because it heard of a change first and told them several times
// before the store's feed did.
func TestStateIsFetchedOnlyIfTheFeedIsLate(t *testing.T) {
	a := newNode(t, "a", 1)
	b := newNode(t, "b", 1, a.address())
	configure(a.holder, 1, upstream("x"))
	configure(b.holder, 1, upstream("x"))
	eventually(t, "members", 2*time.Second, func() bool { return len(a.Members()) == 1 && len(b.Members()) == 1 })
	for version := uint64(2); version < 6; version++ {
		configure(a.holder, version, upstream("x"))
		for range 4 {
			a.NotifyChange(true)
			time.Sleep(fetchDelay / 8)
		}
		configure(b.holder, version, upstream("x"))
		time.Sleep(fetchDelay + 2*heartbeatInterval + 100*time.Millisecond)
	}
	if n := a.calls.Load(); n > 0 {
		t.Errorf("state fetched %d times", n)
	}
}

// Guards against a request that crashes engines from every gateway in turn.
func TestSuspectsReachPeers(t *testing.T) {
	a := newNode(t, "a", 1)
	b := newNode(t, "b", 1, a.address())
	for crash := range uint64(3) {
		a.suspects.RecordCrash(crash, []uint64{77}, time.Now())
	}
	eventually(t, "suspect", 2*time.Second, func() bool { return b.suspects.Status(77, time.Now()) == poison.Blocked })
}

// Guards against old datagrams that replace newer ones, and against a new
// process that is taken for the old one.
func TestReportsInOrder(t *testing.T) {
	a := newNode(t, "a", 1)
	b := newNode(t, "b", 1, a.address())
	eventually(t, "member", time.Second, func() bool { return len(a.Members()) == 1 })
	report := b.compose()
	report.Sequence = 1
	if a.note(report, b.address(), time.Now()) {
		t.Error("an old report was taken")
	}
	b.stop()
	again := newNode(t, "b", 2, a.address())
	eventually(t, "new incarnation", 2*time.Second, func() bool { return a.Members()[0].Incarnation == 2 })
	again.Leave()
	eventually(t, "leaving", time.Second, func() bool { return a.Members()[0].Leaving })
}
