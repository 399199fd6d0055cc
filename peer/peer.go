// Package peer connects the gateways of a deployment. Gateways report their
// work in progress to each other in UDP datagrams, and fetch the configuration
// and the list of upstreams from a peer when the platform's store is unavailable.
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
	"github.com/magnoliausher/magnoliausher/limit"
	"github.com/magnoliausher/magnoliausher/origin"
	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
)

const (
	// heartbeatInterval is the maximum time between reports. A peer counts as
	// silent after four missed heartbeats.
	heartbeatInterval = 250 * time.Millisecond
	// fetchDelay gives the store's feed time to deliver a version that a peer
	// already has.
	fetchDelay = 250 * time.Millisecond
	// fetchTimeout allows a slow instance to transfer the full state, 200 KB with
	// 1,000 upstreams, which a newly started process fetches.
	fetchTimeout = time.Second
	// unreachableAfter is the silence after which a peer is sent at most one
	// report per unreachableReportInterval.
	unreachableAfter          = 5 * time.Second
	unreachableReportInterval = time.Second
	// rowOverrideSilence is how long a member must have been silent before a row
	// of another incarnation replaces it. Reports between data centres are up to
	// 750 ms old.
	rowOverrideSilence = time.Second
	// livePeerTimeout is the silence after which a peer takes no part in what gateways
	// divide by rank. Reports between data centres are up to 750 ms old.
	livePeerTimeout = time.Second
	// maxTakenJobs limits the jobs in one report to 512 bytes.
	maxTakenJobs = 64
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 64 << 10
)

// Member is one gateway process.
type Member struct {
	Name        string
	Incarnation uint64 // random per process start
	Address     string // IP:port for datagrams and RPCs
	DataCentre  string
}

// MemberStatus is a member and the contents of its last report.
type MemberStatus struct {
	Member
	LastHeard    time.Time // time of the last report; zero if none was received
	Leaving      bool      // it is shutting down and hands over its jobs
	StoreReached bool      // it can reach the store
	TakenJobs    []uint64  // hashes of the IDs of jobs that it took over and has not yet claimed in the store
	Collector    bool      // it reports for its data centre to the others
}

// Config configures an Exchange.
type Config struct {
	Self       Member
	Holder     *fleet.Holder
	Dispatcher *dispatch.Dispatcher
	Suspects   *poison.Table
	Limits     *limit.Shared // nil if nothing is limited
	Log        zerolog.Logger
}

// Exchange sends this gateway's reports to its peers, receives theirs, and
// serves their RPCs. It is safe for concurrent use.
type Exchange struct {
	cfg                  Config
	started              time.Time
	changed              chan struct{} // local work has changed
	changedUrgent        chan struct{} // same, and other gateways must yield to it
	reportReceived       chan struct{} // a gateway of the local data centre has reported
	reportReceivedUrgent chan struct{} // same, and other data centres must yield to it
	forward              chan struct{} // groups of other data centres are pending
	forwardUrgent        chan struct{} // same, and the local data centre must yield to them
	newerPeer            chan string   // address of a peer with newer versions
	announcedStreams     chan []origin.Stream
	origins              Origins // nil if no origins of streams are kept
	relay                atomic.Pointer[Relay]
	organisationLoads    *organisationLoads
	membersRead          atomic.Bool // the member rows have been read

	mu            sync.Mutex
	peers         map[string]*peerState
	pendingGroups []*rpc.GatewayGroup  // groups of other data centres to forward
	lastForwarded map[string]time.Time // when another gateway last forwarded a group, by data centre
	lastDigest    map[string]time.Time // when a group of another data centre was last received
	seeds         []string
	sequence      uint64
	role          role
	roleUpdated   time.Time
	announced     announcedState // state of this process in the last digest
	leaving       bool
	takenJobs     []uint64
	onHandOver    func(job []byte) error
}

type peerState struct {
	MemberStatus
	sequence             uint64
	firstHeard           time.Time // when this incarnation was first heard
	lastSent             time.Time
	configurationVersion uint64 // configuration version in force at the peer
	listVersion          uint64
	announced            announcedState // state of the peer in the last digest
}

// New returns an exchange that Run starts.
func New(cfg Config) *Exchange {
	signal := func() chan struct{} { return make(chan struct{}, 1) }
	return &Exchange{
		cfg:                  cfg,
		started:              time.Now(),
		changed:              signal(),
		changedUrgent:        signal(),
		reportReceived:       signal(),
		reportReceivedUrgent: signal(),
		forward:              signal(),
		forwardUrgent:        signal(),
		newerPeer:            make(chan string, 1),
		announcedStreams:     make(chan []origin.Stream, maxPendingStreams),
		organisationLoads:    newOrganisationLoads(),
		peers:                make(map[string]*peerState),
		lastForwarded:        make(map[string]time.Time),
		lastDigest:           make(map[string]time.Time),
		role:                 roleNone,
	}
}

// NotifyChange schedules a report. Urgent changes are sent without waiting for
// further changes to merge.
func (e *Exchange) NotifyChange(urgent bool) { notify(e.changed, e.changedUrgent, urgent) }

// notify signals one of two channels without blocking.
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

// SetSeeds replaces the addresses that receive reports of this process even if
// they are not known as members.
func (e *Exchange) SetSeeds(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = addresses
}

// Leave announces in the reports that this process is shutting down.
func (e *Exchange) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.NotifyChange(true)
}

// SetTakenJobs replaces the hashes of jobs that were taken over and not yet claimed.
func (e *Exchange) SetTakenJobs(hashes []uint64) {
	e.mu.Lock()
	e.takenJobs = hashes[:min(len(hashes), maxTakenJobs)]
	e.mu.Unlock()
	e.NotifyChange(true)
}

// AddMember adds a member found in the store, or replaces an earlier incarnation.
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
	if p.Incarnation != m.Incarnation && time.Since(p.LastHeard) > rowOverrideSilence {
		p.MemberStatus = MemberStatus{Member: m}
		p.sequence, p.firstHeard = 0, time.Time{}
	}
}

// RemoveMember forgets a member that has been silent since before the given time.
func (e *Exchange) RemoveMember(name string, before time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.peers[name]; p != nil && p.LastHeard.Before(before) {
		delete(e.peers, name)
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

// TrialRank returns the rank of this gateway among the live ones for a trial of a
// blocked fingerprint.
func (e *Exchange) TrialRank(fingerprint uint64) int {
	return poison.TrialRank(fingerprint, e.cfg.Self.Name, e.livePeers())
}

// Rank returns the rank of this gateway by name among the live ones, and their number.
func (e *Exchange) Rank() (rank, gateways int) {
	others := e.livePeers()
	for _, name := range others {
		if name < e.cfg.Self.Name {
			rank++
		}
	}
	return rank, len(others) + 1
}

// livePeers returns the names of the other gateways that were heard lately and stay.
func (e *Exchange) livePeers() []string {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var names []string
	for name, p := range e.peers {
		if !p.Leaving && now.Sub(p.LastHeard) <= livePeerTimeout {
			names = append(names, name)
		}
	}
	return names
}

// Run sends and receives reports until ctx is done.
func (e *Exchange) Run(ctx context.Context, conn *net.UDPConn) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	group.Go(func() error { return e.receiveReports(ctx, conn) })
	group.Go(func() error { return e.sendReports(ctx, conn) })
	group.Go(func() error { return e.catchUp(ctx) })
	return group.Wait()
}

// isPeerAddress reports whether a known peer has the address. The caller must hold
// the lock.
func (e *Exchange) isPeerAddress(address string) bool {
	for _, p := range e.peers {
		if p.Address == address {
			return true
		}
	}
	return false
}

// isOutdated reports whether this gateway lacks a list of upstreams or has an
// older version than the given ones.
func (e *Exchange) isOutdated(configuration, list uint64) bool {
	view := e.cfg.Holder.View()
	if view.ListVersion < list || !view.Synced {
		return true
	}
	return configuration > 0 && (view.Configuration == nil || view.Configuration.Version < configuration)
}

// KnowsNewerConfiguration reports whether a gateway of the local data centre that was
// heard lately has a newer configuration than this one.
func (e *Exchange) KnowsNewerConfiguration() bool {
	own, _ := e.cfg.Holder.View().Versions()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		if p.configurationVersion > own && now.Sub(p.LastHeard) <= livePeerTimeout {
			return true
		}
	}
	return false
}

// catchUp fetches the state of a peer that still has newer versions after the
// store's feed had time to deliver them.
func (e *Exchange) catchUp(ctx context.Context) error {
	client := &http.Client{Timeout: fetchTimeout}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.newerPeer:
		}
		if !pause.For(ctx, fetchDelay) {
			return nil
		}
		select { // discards a report received during the delay
		case <-e.newerPeer:
		default:
		}
		select { // only a report after the delay shows that the feed is late
		case address := <-e.newerPeer:
			e.fetchFrom(ctx, client, address)
		case <-time.After(2 * heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

func (e *Exchange) fetchFrom(ctx context.Context, client *http.Client, address string) {
	service := magnoliausherv1connect.NewGatewayClient(client, "http://"+address)
	configuration, list := e.cfg.Holder.View().Versions()
	response, err := service.FetchState(ctx, connect.NewRequest(&rpc.FetchStateRequest{
		ConfigurationVersion: configuration, ListVersion: list}))
	if err != nil {
		e.cfg.Log.Warn().Err(err).Str("address", address).Msg("failed to fetch the state of a peer")
		return
	}
	var state fleet.State
	if err := json.Unmarshal(response.Msg.State, &state); err != nil {
		e.cfg.Log.Error().Err(err).Str("address", address).Msg("failed to decode the state of a peer")
		return
	}
	e.cfg.Holder.MergeState(state, time.Now())
	if e.origins != nil {
		e.origins.LearnRegistered(decodeRegistered(response.Msg.Registered))
	}
	e.cfg.Log.Info().Str("address", address).Uint64("configuration", state.Version).Uint64("from_list", list).
		Int("upstreams", len(state.Records)).Msg("merged the state of a peer")
}

// FetchState implements the RPC service. It returns only what is newer than the
// versions in the request.
func (e *Exchange) FetchState(_ context.Context, request *connect.Request[rpc.FetchStateRequest]) (*connect.Response[rpc.FetchStateResponse], error) {
	data, err := json.Marshal(e.cfg.Holder.View().StateSince(request.Msg.ConfigurationVersion, request.Msg.ListVersion))
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	result := &rpc.FetchStateResponse{State: data}
	if e.origins != nil {
		result.Registered = encodeRegistered(e.origins.Registered())
	}
	return connect.NewResponse(result), nil
}

// Handler returns the handler for the RPCs of peers.
func (e *Exchange) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(magnoliausherv1connect.NewGatewayHandler(e))
	return mux
}

// NewIncarnation returns a random number that distinguishes processes of the same name.
func NewIncarnation() uint64 { return rand.Uint64() }
