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
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

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
	// fetchDelay leaves the store's feed time to bring what a peer has already.
	fetchDelay = 250 * time.Millisecond
	// fetchTimeout covers the whole state, 200 KB with 1,000 upstreams, on a slow
	// instance; a process that has just started needs it.
	fetchTimeout = time.Second
	// lostAfter: reports to a peer that has been silent for this long are sent
	// once per lostInterval only.
	lostAfter    = 5 * time.Second
	lostInterval = time.Second
	// rowSilence: a row of another incarnation counts only if the member has not
	// been heard for this long; reports between data centres are up to 750 ms old.
	rowSilence = time.Second
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

// MemberStatus is a member with what its reports tell.
type MemberStatus struct {
	Member
	LastHeard    time.Time // of the last report; zero if none came
	Leaving      bool      // it shuts down and gives its work away
	StoreReached bool      // the store serves it
	TakenJobs    []uint64  // marks of jobs that it runs and that the store does not show as its own yet
	Collector    bool      // it speaks for its data centre
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
	cfg         Config
	started     time.Time
	change      chan struct{} // the own work has changed
	urgent      chan struct{} // the same, and others have to give way
	heard       chan struct{} // a gateway of the own data centre has reported
	heardUrgent chan struct{} // the same, and other data centres have to give way
	passOn      chan struct{} // news of other data centres
	passUrgent  chan struct{} // the same, and the own data centre has to give way
	behind      chan string   // address of a peer that knows more
	relay       atomic.Pointer[Relay]

	mu       sync.Mutex
	peers    map[string]*peerState
	pending  []*rpc.GatewayGroup  // of other data centres, to be passed on
	passedOn map[string]time.Time // when another gateway last did, by data centre
	seeds    []string
	sequence uint64
	role     role
	roleSet  time.Time
	told     memberState // what digests have said of this process
	leaving  bool
	taken    []uint64
	takeOver func(job []byte) error
}

type peerState struct {
	MemberStatus
	sequence      uint64
	since         time.Time // when this incarnation was first heard
	sent          time.Time
	configuration uint64 // versions in force there
	list          uint64
	told          memberState // what digests have said of it
}

// New returns an exchange; Run starts it.
func New(cfg Config) *Exchange {
	signal := func() chan struct{} { return make(chan struct{}, 1) }
	return &Exchange{
		cfg:         cfg,
		started:     time.Now(),
		change:      signal(),
		urgent:      signal(),
		heard:       signal(),
		heardUrgent: signal(),
		passOn:      signal(),
		passUrgent:  signal(),
		behind:      make(chan string, 1),
		peers:       make(map[string]*peerState),
		passedOn:    make(map[string]time.Time),
		role:        noSpeaker,
	}
}

// NotifyChange asks for a report soon; urgent ones skip the merging of changes.
func (e *Exchange) NotifyChange(urgent bool) { notify(e.change, e.urgent, urgent) }

// notify signals one of two channels without waiting.
func notify(ordinary, urgent chan struct{}, isUrgent bool) {
	signal := ordinary
	if isUrgent {
		signal = urgent
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
	e.NotifyChange(true)
}

// SetTakenJobs replaces the marks of jobs that were taken over and not claimed yet.
func (e *Exchange) SetTakenJobs(marks []uint64) {
	e.mu.Lock()
	e.taken = marks[:min(len(marks), maxTakenJobs)]
	e.mu.Unlock()
	e.NotifyChange(true)
}

// AddMember adds or replaces a member found in the store.
func (e *Exchange) AddMember(m Member) {
	if m.Name == e.cfg.Self.Name {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[m.Name]
	if p == nil {
		e.peers[m.Name] = &peerState{MemberStatus: MemberStatus{Member: m}}
		return
	}
	if p.Incarnation != m.Incarnation && time.Since(p.LastHeard) > rowSilence {
		p.MemberStatus = MemberStatus{Member: m}
		p.sequence = 0
	}
}

// Members returns the other gateways, ordered by name.
func (e *Exchange) Members() []MemberStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]MemberStatus, 0, len(e.peers))
	for _, p := range e.peers {
		list = append(list, p.MemberStatus)
	}
	slices.SortFunc(list, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
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

func (e *Exchange) known(address string) bool {
	for _, p := range e.peers {
		if p.Address == address {
			return true
		}
	}
	return false
}

func (e *Exchange) isBehind(configuration, list uint64) bool {
	view := e.cfg.Holder.View()
	if view.ListVersion < list || !view.Synced {
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
		select { // of a report that came during the delay
		case <-e.behind:
		default:
		}
		select { // only a report that comes after the delay tells that it was not enough
		case address := <-e.behind:
			e.fetch(ctx, client, address)
		case <-time.After(2 * heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

func (e *Exchange) fetch(ctx context.Context, client *http.Client, address string) {
	service := magnoliausherv1connect.NewGatewayClient(client, "http://"+address)
	configuration, list := e.cfg.Holder.View().Versions()
	response, err := service.FetchState(ctx, connect.NewRequest(&rpc.FetchStateRequest{
		ConfigurationVersion: configuration, ListVersion: list}))
	if err != nil {
		e.cfg.Log.Warn().Err(err).Str("address", address).Msg("state of a peer not fetched")
		return
	}
	var state fleet.State
	if err := json.Unmarshal(response.Msg.State, &state); err != nil {
		e.cfg.Log.Error().Err(err).Str("address", address).Msg("state of a peer not understood")
		return
	}
	e.cfg.Holder.MergeState(state, time.Now())
	e.cfg.Log.Info().Str("address", address).Uint64("configuration", state.Version).Uint64("from_list", list).
		Int("upstreams", len(state.Records)).Msg("took the state of a peer")
}

// FetchState implements the service for peers, which get what they lack only.
func (e *Exchange) FetchState(_ context.Context, request *connect.Request[rpc.FetchStateRequest]) (*connect.Response[rpc.FetchStateResponse], error) {
	data, err := json.Marshal(e.cfg.Holder.View().StateSince(request.Msg.ConfigurationVersion, request.Msg.ListVersion))
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
