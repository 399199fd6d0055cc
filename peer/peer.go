// Package peer connects the gateways of a deployment: datagrams with the work
// that each has in progress, and calls for the configuration and the list of
// upstreams when the platform's store does not give them.
package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliausher/magnoliausher/dispatch"
	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
)

const (
	// heartbeatInterval is the longest pause between reports; a peer is taken as
	// silent after four of them.
	heartbeatInterval = 250 * time.Millisecond
	// nearInterval and farInterval merge the reports of changes to peers in the
	// own data centre and in others, where bytes cost more.
	nearInterval = 15 * time.Millisecond
	farInterval  = 60 * time.Millisecond
	// fetchDelay leaves the store's feed time to bring what a peer has already.
	fetchDelay = 250 * time.Millisecond
	// fetchTimeout covers an answer of 200 KB on a slow instance.
	fetchTimeout = time.Second
	// lostAfter: reports to a peer that has been silent for this long are sent
	// once per lostInterval only.
	lostAfter    = 5 * time.Second
	lostInterval = time.Second
	// maxSuspects bounds the suspects in one report to about 500 bytes.
	maxSuspects = 16
	// maxTakenJobs bounds the jobs in one report to 512 bytes.
	maxTakenJobs = 64
	// maxDatagram is the largest datagram read.
	maxDatagram = 64 << 10
)

// Member is one gateway process.
type Member struct {
	Name        string
	Incarnation uint64 // random per process start
	Address     string // IP:port for datagrams and calls
	DataCentre  string
}

// Seen is a member with what its reports tell.
type Seen struct {
	Member
	Heard        time.Time // of the last report; zero if none came
	Leaving      bool      // it shuts down and gives its work away
	StoreReached bool      // the store serves it
	TakenJobs    []uint64  // marks of jobs that it runs and that the store does not show as its own yet
}

// Config of an Exchange.
type Config struct {
	Self       Member
	Holder     *fleet.Holder
	Dispatcher *dispatch.Dispatcher
	Suspects   *poison.Table
	Log        zerolog.Logger
}

// Exchange is safe for concurrent use.
type Exchange struct {
	cfg    Config
	change chan struct{}
	urgent chan struct{}
	behind chan string // address of a peer that knows more
	relay  atomic.Pointer[Relay]

	mu       sync.Mutex
	peers    map[string]*peerState
	seeds    []string
	sequence uint64
	leaving  bool
	taken    []uint64
	takeOver func(job []byte) error
}

type peerState struct {
	Seen
	sequence uint64
	sent     time.Time
}

// New returns an exchange; Run starts it.
func New(cfg Config) *Exchange {
	return &Exchange{
		cfg:    cfg,
		change: make(chan struct{}, 1),
		urgent: make(chan struct{}, 1),
		behind: make(chan string, 1),
		peers:  make(map[string]*peerState),
	}
}

// Changed asks for a report soon; urgent ones skip the merging of changes.
func (e *Exchange) Changed(urgent bool) {
	signal := e.change
	if urgent {
		signal = e.urgent
	}
	select {
	case signal <- struct{}{}:
	default:
	}
}

// SetSeeds replaces the addresses that are told of this process although they
// may not be members.
func (e *Exchange) SetSeeds(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = addresses
}

// Leave marks the reports: this process shuts down.
func (e *Exchange) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.Changed(true)
}

// SetTakenJobs replaces the marks of jobs that were taken over and not claimed yet.
func (e *Exchange) SetTakenJobs(marks []uint64) {
	e.mu.Lock()
	e.taken = marks[:min(len(marks), maxTakenJobs)]
	e.mu.Unlock()
	e.Changed(true)
}

// Join adds or replaces a member found in the store.
func (e *Exchange) Join(m Member) {
	if m.Name == e.cfg.Self.Name {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[m.Name]
	if p == nil {
		e.peers[m.Name] = &peerState{Seen: Seen{Member: m}}
		return
	}
	if p.Incarnation != m.Incarnation && time.Since(p.Heard) > heartbeatInterval {
		p.Seen = Seen{Member: m}
		p.sequence = 0
	}
}

// Members returns the other gateways, ordered by name.
func (e *Exchange) Members() []Seen {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Seen, 0, len(e.peers))
	for _, p := range e.peers {
		list = append(list, p.Seen)
	}
	slices.SortFunc(list, func(a, b Seen) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Run sends and receives until ctx ends.
func (e *Exchange) Run(ctx context.Context, conn *net.UDPConn) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	group.Go(func() error { return e.receive(ctx, conn) })
	group.Go(func() error { return e.send(ctx, conn) })
	group.Go(func() error { return e.catchUp(ctx) })
	return group.Wait()
}

// send reports changes, merged over an interval, and heartbeats.
func (e *Exchange) send(ctx context.Context, conn *net.UDPConn) error {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	var near, far <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.urgent:
			e.report(conn, true, true, false)
			near, far = nil, nil
		case <-e.change:
			if near == nil {
				near = time.After(nearInterval)
			}
			if far == nil {
				far = time.After(farInterval)
			}
		case <-near:
			near = nil
			e.report(conn, true, false, false)
		case <-far:
			far = nil
			e.report(conn, false, true, false)
		case now := <-heartbeat.C:
			e.cfg.Dispatcher.Expire(now)
			e.report(conn, true, true, true)
		}
	}
}

// report sends the present state to the members in the own data centre, in
// others, or both. Heartbeats carry the suspects as well, which are few and may
// wait for one, while changes of the own work are reported many times a second.
func (e *Exchange) report(conn *net.UDPConn, near, far, heartbeat bool) {
	now := time.Now()
	report := e.compose(now)
	if heartbeat {
		report.Suspects = repeated(e.cfg.Suspects.Export(now))
	}
	data, err := proto.Marshal(report)
	if err != nil {
		e.cfg.Log.Error().Err(err).Msg("report not encoded")
		return
	}
	for _, address := range e.receivers(near, far, now) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			e.cfg.Log.Warn().Err(err).Str("address", address).Msg("peer has no usable address")
			continue
		}
		// A datagram that cannot be sent is as good as lost; the next one replaces it.
		_, _ = conn.WriteToUDPAddrPort(data, to)
	}
}

func (e *Exchange) compose(now time.Time) *rpc.GatewayReport {
	own := e.cfg.Dispatcher.Report()
	view := e.cfg.Holder.View()
	e.mu.Lock()
	e.sequence++
	report := &rpc.GatewayReport{
		Sender: e.cfg.Self.Name, Incarnation: e.cfg.Self.Incarnation, Sequence: e.sequence,
		DataCentre: e.cfg.Self.DataCentre, ListVersion: view.ListVersion,
		Backlog: uint32(own.Backlog), Leaving: e.leaving, TakenJobs: e.taken,
	}
	e.mu.Unlock()
	if self, err := netip.ParseAddrPort(e.cfg.Self.Address); err == nil {
		report.Port = uint32(self.Port())
	}
	if relay := e.relay.Load(); relay != nil {
		report.StoreReached = relay.Reached()
	}
	if view.Configuration != nil {
		report.ConfigurationVersion = view.Configuration.Version
	}
	for _, c := range own.Counts {
		report.Counts = append(report.Counts, &rpc.GatewayCount{
			Upstream: uint32(c.Key), Online: uint32(c.Online), Batch: uint32(c.Batch)})
	}
	for service, requests := range own.Waiting {
		report.Waiting = append(report.Waiting, &rpc.GatewayWaiting{Service: uint32(service), Requests: uint32(requests)})
	}
	return report
}

// repeated returns the suspects with more than one crash, at most maxSuspects.
// Most requests that were in progress at a single crash did not cause it.
func repeated(all []*rpc.Suspect) []*rpc.Suspect {
	list := slices.DeleteFunc(all, func(s *rpc.Suspect) bool { return len(s.CrashIds) < 2 })
	return list[:min(len(list), maxSuspects)]
}

func (e *Exchange) receivers(near, far bool, now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for _, p := range e.peers {
		local := p.DataCentre == e.cfg.Self.DataCentre
		if local && !near || !local && !far {
			continue
		}
		if now.Sub(p.Heard) > lostAfter && now.Sub(p.sent) < lostInterval {
			continue
		}
		p.sent = now
		list = append(list, p.Address)
	}
	if far {
		for _, seed := range e.seeds {
			if seed != e.cfg.Self.Address && !slices.Contains(list, seed) && !e.known(seed) {
				list = append(list, seed)
			}
		}
	}
	return list
}

func (e *Exchange) known(address string) bool {
	for _, p := range e.peers {
		if p.Address == address {
			return true
		}
	}
	return false
}

func (e *Exchange) receive(ctx context.Context, conn *net.UDPConn) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			e.cfg.Log.Warn().Err(err).Msg("reading a report failed")
			if !pause.For(ctx, nearInterval) {
				return nil
			}
			continue
		}
		var report rpc.GatewayReport
		if err := proto.Unmarshal(buffer[:n], &report); err != nil {
			e.cfg.Log.Warn().Err(err).Stringer("from", from).Msg("report not understood")
			continue
		}
		e.take(&report, from.Addr().Unmap())
	}
}

// take applies a peer's report.
func (e *Exchange) take(report *rpc.GatewayReport, from netip.Addr) {
	if report.Sender == "" || report.Sender == e.cfg.Self.Name {
		return
	}
	now := time.Now()
	address := netip.AddrPortFrom(from, uint16(report.Port)).String()
	if !e.note(report, address, now) {
		return
	}
	e.cfg.Suspects.Merge(report.Suspects, now)
	counts := make([]dispatch.Count, 0, len(report.Counts))
	for _, c := range report.Counts {
		counts = append(counts, dispatch.Count{Key: dispatch.Key(c.Upstream), Online: int(c.Online), Batch: int(c.Batch)})
	}
	waiting := make(map[dispatch.Key]int, len(report.Waiting))
	for _, w := range report.Waiting {
		waiting[dispatch.Key(w.Service)] = int(w.Requests)
	}
	e.cfg.Dispatcher.Merge(report.Sender, dispatch.Report{DataCentre: report.DataCentre, Counts: counts,
		Backlog: int(report.Backlog), Waiting: waiting}, now)
	if e.isBehind(report.ConfigurationVersion, report.ListVersion) {
		select {
		case e.behind <- address:
		default:
		}
	}
}

// note records the sender and reports whether the report is its newest.
func (e *Exchange) note(report *rpc.GatewayReport, address string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[report.Sender]
	if p == nil {
		p = &peerState{}
		e.peers[report.Sender] = p
	}
	if p.Incarnation == report.Incarnation && report.Sequence <= p.sequence {
		return false
	}
	if p.Incarnation != report.Incarnation {
		e.cfg.Log.Info().Str("peer", report.Sender).Str("address", address).Msg("peer heard")
	}
	p.Member = Member{Name: report.Sender, Incarnation: report.Incarnation, Address: address, DataCentre: report.DataCentre}
	p.sequence, p.Heard, p.Leaving, p.StoreReached, p.TakenJobs = report.Sequence, now, report.Leaving, report.StoreReached, report.TakenJobs
	return true
}

func (e *Exchange) isBehind(configuration, list uint64) bool {
	view := e.cfg.Holder.View()
	if view.ListVersion < list || !view.Listed {
		return true
	}
	return configuration > 0 && (view.Configuration == nil || view.Configuration.Version < configuration)
}

// catchUp fetches the state of a peer that knows more for longer than the
// store's feed would take.
func (e *Exchange) catchUp(ctx context.Context) error {
	client := &http.Client{Timeout: fetchTimeout}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.behind:
		}
		if !pause.For(ctx, fetchDelay) {
			return nil
		}
		select { // only a report that came after the delay tells that it was not enough
		case address := <-e.behind:
			e.fetch(ctx, client, address)
		case <-time.After(2 * heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

func (e *Exchange) fetch(ctx context.Context, client *http.Client, address string) {
	service := magnoliausherv1connect.NewGatewayClient(client, "http://"+address)
	response, err := service.FetchState(ctx, connect.NewRequest(&rpc.FetchStateRequest{}))
	if err != nil {
		e.cfg.Log.Warn().Err(err).Str("address", address).Msg("state of a peer not fetched")
		return
	}
	var state fleet.State
	if err := json.Unmarshal(response.Msg.State, &state); err != nil {
		e.cfg.Log.Error().Err(err).Str("address", address).Msg("state of a peer not understood")
		return
	}
	e.cfg.Holder.Adopt(state, time.Now())
	e.cfg.Log.Info().Str("address", address).Uint64("configuration", state.Version).
		Int("upstreams", len(state.Records)).Msg("took the state of a peer")
}

// FetchState implements the service for peers.
func (e *Exchange) FetchState(context.Context, *connect.Request[rpc.FetchStateRequest]) (*connect.Response[rpc.FetchStateResponse], error) {
	data, err := json.Marshal(e.cfg.Holder.View().State())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&rpc.FetchStateResponse{State: data}), nil
}

// Handler serves the calls of peers.
func (e *Exchange) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(magnoliausherv1connect.NewGatewayHandler(e))
	return mux
}

// NewIncarnation returns a number that tells two processes of one name apart.
func NewIncarnation() uint64 { return rand.Uint64() }
