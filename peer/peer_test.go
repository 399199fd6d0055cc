package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/limit"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// node is the exchange of a gateway on the loopback interface.
type node struct {
	*Exchange
	holder     *fleet.Holder
	dispatcher *dispatch.Dispatcher
	suspects   *poison.Table
	limits     *limit.Shared
	streams    keptStreams
	calls      atomic.Int32 // RPCs served
	stop       func()
}

func newNode(t *testing.T, name string, incarnation uint64, seeds ...string) *node {
	return newNodeIn(t, reliableNetwork{}, "z", name, incarnation, seeds...)
}

// testNetwork opens the socket on which a node receives the datagrams to an address.
type testNetwork interface {
	listen(t *testing.T, address *net.UDPAddr) *net.UDPConn
}

type reliableNetwork struct{}

func (reliableNetwork) listen(t *testing.T, address *net.UDPAddr) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// lossyNetwork drops, delays and duplicates datagrams. The draws depend on the seed and
// on the datagram only, so that they do not change with the order of goroutines.
type lossyNetwork struct {
	lossPercent, duplicatePercent int
	maxDelay                      time.Duration
	seed                          uint64
}

// delays returns the delay of each copy of a datagram that arrives.
func (l lossyNetwork) delays(report *rpc.GatewayReport, receiver string) []time.Duration {
	random := rand.New(rand.NewPCG(l.seed, xxhash.Sum64String(fmt.Sprint(report.Sender, " ", report.Sequence, " ", receiver))))
	copies := 1
	switch draw := random.IntN(100); {
	case draw < l.lossPercent:
		copies = 0
	case draw < l.lossPercent+l.duplicatePercent:
		copies = 2
	}
	delays := make([]time.Duration, copies)
	for i := range delays {
		delays[i] = time.Duration(random.Int64N(int64(l.maxDelay)))
	}
	return delays
}

// virtualNetwork carries the datagrams of gateways that run in a synctest bubble, where
// no goroutine may wait for a socket. Datagrams are read outside of the bubble. Virtual
// time passes only when all datagrams that were sent have been read.
type virtualNetwork struct {
	lossyNetwork
	sockets  []*net.UDPConn // by node
	sentBase uint64         // datagrams counted before the first node started

	mu   sync.Mutex
	read uint64      // datagrams read from all sockets
	sent []*datagram // read and not yet delivered
}

type datagram struct {
	receiver int
	data     []byte
}

func newVirtualNetwork(t *testing.T, lossy lossyNetwork, nodes int) *virtualNetwork {
	t.Helper()
	v := &virtualNetwork{lossyNetwork: lossy, sentBase: metric.Sum(metric.ReportsName)}
	var reading sync.WaitGroup
	for i := range nodes {
		socket := reliableNetwork{}.listen(t, &net.UDPAddr{IP: net.ParseIP(processHost())})
		v.sockets = append(v.sockets, socket)
		reading.Go(func() {
			buffer := make([]byte, maxDatagramBytes)
			for {
				n, _, err := socket.ReadFromUDP(buffer)
				if err != nil {
					return
				}
				v.mu.Lock()
				v.read++
				v.sent = append(v.sent, &datagram{i, slices.Clone(buffer[:n])})
				v.mu.Unlock()
			}
		})
	}
	t.Cleanup(func() {
		for _, socket := range v.sockets {
			socket.Close()
		}
		reading.Wait()
	})
	return v
}

// takeSent returns the datagrams that were sent since the last call. All other goroutines
// of the bubble must be blocked.
func (v *virtualNetwork) takeSent() []*datagram {
	sent := metric.Sum(metric.ReportsName) - v.sentBase
	for {
		v.mu.Lock()
		if v.read == sent {
			list := v.sent
			v.sent = nil
			v.mu.Unlock()
			return list
		}
		v.mu.Unlock()
		runtime.Gosched()
	}
}

// deliver delivers datagrams to the nodes until ctx is done.
func (v *virtualNetwork) deliver(ctx context.Context, t *testing.T, nodes []*node) {
	host := netip.MustParseAddr(processHost())
	for ctx.Err() == nil {
		time.Sleep(100 * time.Microsecond)
		synctest.Wait()
		for _, d := range v.takeSent() {
			n, report := nodes[d.receiver], new(rpc.GatewayReport)
			if err := proto.Unmarshal(d.data, report); err != nil {
				t.Error(err)
				continue
			}
			for _, delay := range v.delays(report, n.cfg.Self.Name) {
				time.AfterFunc(delay, func() { n.applyReport(proto.Clone(report).(*rpc.GatewayReport), host) })
			}
		}
	}
}

// inVirtualTime runs a test with gateways in data centres x and y that know each other
// as members from the store. They send reports, and serve no RPCs.
func inVirtualTime(t *testing.T, lossy lossyNetwork, each int, test func(t *testing.T, x, y []*node)) {
	t.Helper()
	v := newVirtualNetwork(t, lossy, 2*each)
	synctest.Test(t, func(t *testing.T) {
		var x, y []*node
		var all []*node
		for i, socket := range v.sockets {
			n := newIdleNode([]string{"x", "y"}[i%2], fmt.Sprint("g", i), 1, socket.LocalAddr().String())
			configure(n.holder, 1, upstream("u"), upstream("v"))
			all = append(all, n)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i, n := range all {
			for _, other := range all {
				n.AddMember(other.cfg.Self)
			}
			if i%2 == 0 {
				x = append(x, n)
			} else {
				y = append(y, n)
			}
		}
		for i, n := range all {
			running.Go(func() {
				if err := n.sendReports(ctx, v.sockets[i]); err != nil {
					t.Error(err)
				}
			})
		}
		running.Go(func() { v.deliver(ctx, t, all) })
		defer running.Wait()
		defer cancel()
		test(t, x, y)
	})
}

// processHost returns a loopback address that other processes of this test do not
// use. Ports are reused soon, and the reports that another process still sends to a
// stopped node's port would reach a node of this one, under the same names.
func processHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
}

// newIdleNode returns a node whose exchange does not run.
func newIdleNode(dataCentre, name string, incarnation uint64, address string) *node {
	n := &node{holder: fleet.NewHolder(), suspects: poison.NewTable(poison.Config{BlockAfter: 3}),
		limits: limit.NewShared(time.Now().Add(-time.Hour), rand.Float64)}
	n.dispatcher = dispatch.New(dispatch.Config{Self: name, DataCentre: dataCentre, Holder: n.holder})
	n.Exchange = New(Config{Self: Member{Name: name, Incarnation: incarnation, Address: address, DataCentre: dataCentre}, Holder: n.holder,
		Dispatcher: n.dispatcher, Suspects: n.suspects, Limits: n.limits, Log: zerolog.Nop()})
	n.dispatcher.OnChange(n.NotifyChange)
	n.UseOrigins(&n.streams)
	return n
}

func newNodeIn(t *testing.T, network testNetwork, dataCentre, name string, incarnation uint64, seeds ...string) *node {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Listener.Close()
	listener, err := net.Listen("tcp", processHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	server.Listener = listener
	address := listener.Addr().String()
	n := newIdleNode(dataCentre, name, incarnation, address)
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

// Guards against gateways that do not see each other's work, or that count the
// work of a stopped process.
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
		g := b.dispatcher.TryAcquireBatch("s", nil)
		if g == nil {
			return false
		}
		defer g.Release(dispatch.Cancelled)
		return g.Upstream.ID == "y"
	})
	a.stop()
	time.Sleep(1300 * time.Millisecond) // more than four heartbeats
	if free := b.dispatcher.BatchStartQuota("s", 4); free != 3 {
		t.Errorf("%d slots free after a has stopped, want all but the reserved one", free)
	}
}

// Guards against a gateway that cannot reach the store and keeps an outdated
// configuration, or sends requests to a draining upstream.
func TestStateReachesPeers(t *testing.T) {
	a := newNode(t, "a", 1)
	b := newNode(t, "b", 1, a.address()) // only a can reach the store
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
		t.Error("an older state was adopted")
	}
}

// Guards against gateways that all fetch the state of the first peer to receive a
// change, because its reports arrive several times before the store's feed
// delivers the change. A feed that is late is not covered.
func TestStateIsNotFetchedIfTheFeedIsTimely(t *testing.T) {
	a := newNode(t, "a", 1)
	b := newNode(t, "b", 1, a.address())
	configure(a.holder, 1, upstream("x"))
	configure(b.holder, 1, upstream("x"))
	eventually(t, "members", 2*time.Second, func() bool { return len(a.Members()) == 1 && len(b.Members()) == 1 })
	for version, timely := uint64(2), 0; timely < 4; version++ {
		started, before := time.Now(), a.calls.Load()
		configure(a.holder, version, upstream("x"))
		for range 4 {
			a.NotifyChange(true)
			time.Sleep(fetchDelay / 8)
		}
		configure(b.holder, version, upstream("x"))
		late := time.Since(started) > fetchDelay
		time.Sleep(fetchDelay + 2*heartbeatInterval + 100*time.Millisecond)
		if late { // this test was not scheduled, so that the feed came after the time that b gives it
			a.calls.Store(before)
			continue
		}
		timely++
	}
	if n := a.calls.Load(); n > 0 {
		t.Errorf("state fetched %d times", n)
	}
}

// Guards against a request that crashes engines through one gateway after another.
func TestSuspectsReachPeers(t *testing.T) {
	a := newNode(t, "a", 1)
	b := newNode(t, "b", 1, a.address())
	for crash := range uint64(3) {
		a.suspects.RecordCrash(crash, []uint64{77}, time.Now())
	}
	eventually(t, "suspect", 2*time.Second, func() bool { return b.suspects.Status(77, time.Now()) == poison.Blocked })
}

// Guards against old reports that replace newer ones, and against a restarted
// process that is mistaken for the earlier one.
func TestReportsInOrder(t *testing.T) {
	a := newNode(t, "a", 1)
	b := newNode(t, "b", 1, a.address())
	eventually(t, "member", time.Second, func() bool { return len(a.Members()) == 1 })
	report := b.newReport()
	report.Sequence = 1
	if a.recordSender(report, b.address(), time.Now()) {
		t.Error("an old report was accepted")
	}
	b.stop()
	restarted := newNode(t, "b", 2, a.address())
	eventually(t, "new incarnation", 2*time.Second, func() bool { return a.Members()[0].Incarnation == 2 })
	restarted.Leave()
	eventually(t, "leaving", time.Second, func() bool { return a.Members()[0].Leaving })
}

// Guards against crashes that no gateway adds up because each saw one of them.
func TestCrashesAtDifferentGatewaysAddUp(t *testing.T) {
	a := newNodeIn(t, reliableNetwork{}, "z", "a", 1)
	b := newNodeIn(t, reliableNetwork{}, "z", "b", 1, a.address())
	c := newNodeIn(t, reliableNetwork{}, "y", "c", 1, a.address())
	for crash, n := range []*node{a, b, c} {
		n.suspects.RecordCrash(uint64(crash+1), []uint64{77}, time.Now())
	}
	for _, n := range []*node{a, b, c} {
		eventually(t, "blocked", 3*time.Second, func() bool { return n.suspects.Status(77, time.Now()) == poison.Blocked })
	}
	late := newNodeIn(t, reliableNetwork{}, "y", "d", 1, a.address())
	eventually(t, "blocked at a gateway that started later", 3*time.Second, func() bool { return late.suspects.Status(77, time.Now()) == poison.Blocked })
}
