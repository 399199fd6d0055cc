package link

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// EntryHeader is the header of Agent.Run that names the entry, so that the
// agent knows which link a piggybacked load report belongs to.
const EntryHeader = "Magnoliausher-Entry"

// errReplaced ends a stream whose entry opened a newer one.
var errReplaced = errors.New("control stream replaced by a newer one of the same entry")

// AgentServerConfig configures an AgentServer.
type AgentServerConfig struct {
	ID          string
	DataCentre  string
	Service     string
	Incarnation uint64
	// Load returns the current load. A complete list of cached prefixes
	// (CacheComplete) is sent as incremental changes. The report must not be
	// modified after it is returned.
	Load     func() *rpc.LoadReport
	Holder   *contract.Holder
	Suspects *poison.Table
	Logger   zerolog.Logger
}

// AgentServer serves the control streams of an agent's entries.
type AgentServer struct {
	*PeerHandler
	cfg           AgentServerConfig
	gossip        *gossip
	demandChanged chan struct{}

	mu       sync.Mutex
	sessions map[string]*agentSession // by entry id
}

// EntryDemand is the batch work that one entry announced.
type EntryDemand struct {
	EntryID     string
	Items       int
	EarliestDue time.Time // zero when the entry gave none
}

// agentSession is one control stream of one entry.
type agentSession struct {
	peer   *peer
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	reporter reporter
	demand   EntryDemand
	grant    *rpc.BatchGrant // not yet sent
}

// NewAgentServer returns the server of an agent's control streams.
func NewAgentServer(cfg AgentServerConfig) *AgentServer {
	s := newGossip(cfg.ID, cfg.DataCentre, cfg.Incarnation, cfg.Holder, cfg.Suspects, cfg.Logger)
	a := &AgentServer{
		PeerHandler:   &PeerHandler{codec: s.codec},
		cfg:           cfg,
		gossip:        s,
		demandChanged: make(chan struct{}, 1),
		sessions:      make(map[string]*agentSession),
	}
	a.instances = a.ownInstance
	return a
}

// Control serves one control stream until it fails or a newer one of the same
// entry replaces it.
func (a *AgentServer) Control(ctx context.Context, stream *connect.BidiStream[rpc.ControlMessage, rpc.ControlMessage]) error {
	hello, err := stream.Receive()
	if err != nil {
		return err
	}
	if hello.GetSenderId() == "" || hello.GetSequence() == 0 {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("first control message lacks the sender id or the sequence number"))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	session := &agentSession{peer: a.gossip.newPeer(), cancel: cancel}
	defer a.gossip.removePeer(session.peer)
	a.register(hello.GetSenderId(), session)
	defer a.unregister(hello.GetSenderId(), session)
	a.receive(session, hello)

	// receiveLoop returns after the handler has returned, which closes the
	// request body.
	go func() { cancel(a.receiveLoop(session, stream)) }()
	err = session.peer.sendLoop(ctx, a.roleFields(session), stream.Send)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (a *AgentServer) receiveLoop(session *agentSession, stream *connect.BidiStream[rpc.ControlMessage, rpc.ControlMessage]) error {
	for {
		msg, err := stream.Receive()
		if err != nil {
			return err
		}
		a.receive(session, msg)
	}
}

// receive processes one message from an entry.
func (a *AgentServer) receive(session *agentSession, msg *rpc.ControlMessage) {
	now := time.Now()
	if !session.peer.receive(msg, now) {
		return
	}
	if msg.GetLeaving() {
		session.setDemand(EntryDemand{})
		a.notifyDemand()
		return
	}
	if d := msg.GetBatchDemand(); d != nil {
		id, _ := session.peer.identity()
		demand := EntryDemand{EntryID: id, Items: int(d.GetItems())}
		if d.GetEarliestDueMs() != 0 {
			demand.EarliestDue = now.Add(time.Duration(d.GetEarliestDueMs()) * time.Millisecond)
		}
		session.setDemand(demand)
		a.notifyDemand()
	}
}

func (s *agentSession) setDemand(d EntryDemand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand = d
}

// register adds a session and cancels an older one of the same entry.
func (a *AgentServer) register(id string, session *agentSession) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.sessions[id]; old != nil {
		old.cancel(errReplaced)
	}
	a.sessions[id] = session
}

func (a *AgentServer) unregister(id string, session *agentSession) {
	a.mu.Lock()
	if a.sessions[id] == session {
		delete(a.sessions, id)
	}
	a.mu.Unlock()
	a.notifyDemand()
}

// roleFields returns the function that adds load reports and grants to the
// messages of a session.
func (a *AgentServer) roleFields(session *agentSession) roleFieldsFunc {
	return func(msg *rpc.ControlMessage, now time.Time, heartbeat bool) (bool, time.Duration) {
		load := a.load()
		session.mu.Lock()
		defer session.mu.Unlock()
		due, recheck := session.reporter.add(msg, load, now, heartbeat)
		msg.BatchGrant = session.grant
		session.grant = nil
		return due || msg.BatchGrant != nil, recheck
	}
}

// load returns the current report with the agent's service filled in.
func (a *AgentServer) load() *rpc.LoadReport {
	report := a.cfg.Load()
	if report == nil || report.Service != "" {
		return report
	}
	named := withoutPrefixes(report)
	named.Service = a.cfg.Service
	named.CachedPrefixes = report.CachedPrefixes
	named.EvictedPrefixes = report.EvictedPrefixes
	named.CacheComplete = report.CacheComplete
	return named
}

// LoadChanged makes the streams compare the current load with their last
// report. It may be called on every change: reports are at least 500 ms apart,
// except when the upstream's state changes.
func (a *AgentServer) LoadChanged() { a.gossip.wakeAll() }

// PiggybackLoad returns the report to attach to the next RunEvent for an
// entry, or nil if the entry received one within the last 500 ms. The id comes
// from EntryHeader.
func (a *AgentServer) PiggybackLoad(entryID string) *rpc.LoadReport {
	session := a.session(entryID)
	if session == nil {
		return nil
	}
	load := a.load()
	session.mu.Lock()
	defer session.mu.Unlock()
	return session.reporter.piggyback(load, time.Now())
}

func (a *AgentServer) session(entryID string) *agentSession {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sessions[entryID]
}

// SetLeaving notifies all entries that the agent accepts no new work.
func (a *AgentServer) SetLeaving() { a.gossip.setLeaving() }

// DemandChanged receives a value after a demand has changed or an entry has
// disconnected.
func (a *AgentServer) DemandChanged() <-chan struct{} { return a.demandChanged }

func (a *AgentServer) notifyDemand() {
	select {
	case a.demandChanged <- struct{}{}:
	default: // a notification is pending
	}
}

// Demands returns the announced batch work of the entries with a recent
// message, the most urgent first. Entries that are leaving are excluded. A
// grant does not reduce a demand: the entry announces what remains.
func (a *AgentServer) Demands() []EntryDemand {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var demands []EntryDemand
	for _, session := range a.sessions {
		if session.peer.isLeaving() || now.Sub(session.peer.lastHeard()) > silenceTimeout {
			continue
		}
		session.mu.Lock()
		d := session.demand
		session.mu.Unlock()
		if d.Items > 0 {
			demands = append(demands, d)
		}
	}
	slices.SortFunc(demands, compareDemands)
	return demands
}

// compareDemands orders demands by due time; those without one come last.
func compareDemands(x, y EntryDemand) int {
	if x.EarliestDue.IsZero() != y.EarliestDue.IsZero() {
		if x.EarliestDue.IsZero() {
			return 1
		}
		return -1
	}
	return cmp.Or(x.EarliestDue.Compare(y.EarliestDue), cmp.Compare(x.EntryID, y.EntryID))
}

// Grant permits an entry to start the given number of batch attempts. It
// reports false if the entry has no live stream. The validity counts from the
// arrival at the entry, so the agent should honour the grant slightly longer.
func (a *AgentServer) Grant(entryID string, items int, valid time.Duration) bool {
	session := a.session(entryID)
	if session == nil || items <= 0 || time.Since(session.peer.lastHeard()) > silenceTimeout {
		return false
	}
	session.mu.Lock()
	total := uint32(items)
	if session.grant != nil {
		total += session.grant.Items
	}
	session.grant = &rpc.BatchGrant{Items: total, ValidMs: milliseconds32(valid)}
	session.mu.Unlock()
	session.peer.wakeUp()
	return true
}

// CancelledJobs delivers the ids of cancelled jobs that entries announced.
func (a *AgentServer) CancelledJobs() <-chan string { return a.gossip.cancelledIDs }

// Version returns the last known configuration version of an instance.
func (a *AgentServer) Version(instanceID string) InstanceVersion {
	return a.gossip.versionOf(instanceID, time.Now())
}
