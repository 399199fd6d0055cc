package link

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/instance"
	"github.com/magnoliausher/magnoliausher/pause"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
	"github.com/magnoliausher/magnoliausher/storage"
)

// errSilent ends a control stream that received nothing for silenceTimeout.
var errSilent = errors.New("no message received on the control stream")

// Delays before a control stream is opened again. They are jittered, so that
// entries do not all reconnect to a restarted agent at once.
const (
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 5 * time.Second
)

// maxPrefixes limits the cached prefixes tracked for one agent.
const maxPrefixes = 1024

// entryLink is an entry's link to one agent.
type entryLink struct {
	entry *EntryClient
	agent storage.Instance
	stop  context.CancelFunc
	done  chan struct{} // closed when run returned

	probing atomic.Bool // a probe of the online connection is running

	mu           sync.Mutex
	upstream     Upstream // the instance table adds to Leaving and sets Weight
	retired      bool     // outside the subset; gets no new work
	retiredAt    time.Time
	silent       bool
	openedAt     time.Time
	attempts     int // in progress, of all classes
	peer         *peer
	cancel       context.CancelCauseFunc // ends the current control stream
	clients      [classCount]*classClient
	sentDemand   Demand // last announced on the current control stream
	demandSentAt time.Time
	granted      bool // a grant arrived since the last announcement
}

func newEntryLink(entry *EntryClient, agent storage.Instance) *entryLink {
	l := &entryLink{entry: entry, agent: agent, done: make(chan struct{}), openedAt: time.Now()}
	l.upstream = Upstream{
		AgentID:    agent.ID,
		DataCentre: agent.DataCentre,
		Service:    agent.Service,
		Address:    agent.Address,
	}
	return l
}

// run keeps the control stream open until ctx ends.
func (l *entryLink) run(ctx context.Context) {
	defer close(l.done)
	defer l.closeClients()
	wait := minReconnectDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := l.runControl(ctx)
		l.disconnected(err)
		if ctx.Err() != nil {
			return
		}
		l.entry.cfg.Logger.Debug().Err(err).Str("agent", l.agent.ID).Msg("control stream ended")
		if time.Since(started) > maxReconnectDelay {
			wait = minReconnectDelay
		}
		pause.For(ctx, jitter(wait))
		wait = min(2*wait, maxReconnectDelay)
	}
}

// runControl runs one control stream on a new TCP connection.
func (l *entryLink) runControl(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client := l.entry.newClassClient(classControl, l.agent.Address)
	defer client.http.CloseIdleConnections()
	silence := time.AfterFunc(silenceTimeout, func() { cancel(errSilent) })
	defer silence.Stop()

	p := l.entry.gossip.newPeer()
	defer l.entry.gossip.removePeer(p)
	l.initStream(p, client, cancel)
	agent := magnoliausherv1connect.NewAgentClient(client.http, client.url, clientOptions()...)
	stream := agent.Control(ctx)
	// net/http notices the end of ctx only when the request body ends.
	defer context.AfterFunc(ctx, func() { _ = stream.CloseRequest() })()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return p.sendLoop(groupCtx, l.roleFields, stream.Send)
	})
	group.Go(func() error {
		err := l.receiveLoop(p, stream, silence)
		cancel(err)
		return err
	})
	err := group.Wait()
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return err
}

func (l *entryLink) receiveLoop(p *peer, stream *connect.BidiStreamForClient[rpc.ControlMessage, rpc.ControlMessage], silence *time.Timer) error {
	for {
		msg, err := stream.Receive()
		if err != nil {
			return err
		}
		silence.Reset(silenceTimeout)
		if err := l.receive(p, msg); err != nil {
			return err
		}
	}
}

// initStream resets the state for a new control stream.
func (l *entryLink) initStream(p *peer, client *classClient, cancel context.CancelCauseFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peer = p
	l.cancel = cancel
	l.clients[classControl] = client
	l.sentDemand = Demand{}
	l.demandSentAt = time.Time{}
}

// disconnected records the end of a control stream. A link that went silent
// stays marked as such until a message arrives.
func (l *entryLink) disconnected(err error) {
	l.mu.Lock()
	l.upstream.Connected = false
	if errors.Is(err, errSilent) {
		l.silent = true
	}
	l.mu.Unlock()
	l.reportObservation()
}

// receive processes one message from the agent.
func (l *entryLink) receive(p *peer, msg *rpc.ControlMessage) error {
	now := time.Now()
	if !p.receive(msg, now) {
		return nil
	}
	id, incarnation := p.identity()
	if id != l.agent.ID {
		return fmt.Errorf("instance %q answered at the address of %q", id, l.agent.ID)
	}
	changed := l.recordMessage(incarnation, p.isLeaving(), now)
	l.applyLoad(msg.GetLoad(), incarnation, now)
	if changed {
		l.reportObservation()
	}
	if g := msg.GetBatchGrant(); g != nil {
		l.deliverGrant(g, now)
	}
	return nil
}

// recordMessage records a message and reports whether the instance table needs
// an update.
func (l *entryLink) recordMessage(incarnation uint64, leaving bool, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := &l.upstream
	changed = !v.Connected || v.Leaving != leaving || l.silent
	if v.Incarnation != incarnation {
		v.Incarnation = incarnation
		v.Load = nil // from the previous process
		v.Prefixes = nil
		changed = true
	}
	v.Connected = true
	v.Leaving = leaving
	v.LastHeard = now
	l.silent = false
	return changed
}

// reconnect ends the control stream as silent; run opens a new one.
func (l *entryLink) reconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		l.cancel(errSilent)
	}
}

// updateLastHeard records the arrival of a message on another connection to
// the agent.
func (l *entryLink) updateLastHeard(incarnation uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation == l.upstream.Incarnation {
		l.upstream.LastHeard = now
	}
}

// reportObservation passes the link's state to the instance table, unless a
// link to a newer address of the agent has replaced this one.
func (l *entryLink) reportObservation() {
	if l.entry.link(l.agent.ID) != l {
		return
	}
	l.mu.Lock()
	o := instance.Observation{
		Connected:   l.upstream.Connected,
		Leaving:     l.upstream.Leaving,
		Silent:      l.silent,
		Incarnation: l.upstream.Incarnation,
	}
	l.mu.Unlock()
	l.entry.cfg.Members.Observe(l.agent.ID, o, time.Now())
}

// applyLoad stores a report unless it is older than the stored one or from
// another process of the agent. Reports also arrive on the connections of
// attempts.
func (l *entryLink) applyLoad(load *rpc.LoadReport, incarnation uint64, now time.Time) {
	if load == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	v := &l.upstream
	if incarnation != v.Incarnation {
		return
	}
	if v.Load == nil || load.AgentTimeMs >= v.Load.AgentTimeMs {
		v.Load = load
		v.LoadAt = now
		v.SentSince = 0
	}
	v.Prefixes = applyPrefixChanges(v.Prefixes, load)
}

// applyPrefixChanges returns a new set, because copies of the Upstream share
// the old one.
func applyPrefixChanges(old map[uint64]struct{}, load *rpc.LoadReport) map[uint64]struct{} {
	if !load.CacheComplete && len(load.CachedPrefixes) == 0 && len(load.EvictedPrefixes) == 0 {
		return old
	}
	set := make(map[uint64]struct{}, len(old)+len(load.CachedPrefixes))
	if !load.CacheComplete {
		maps.Copy(set, old)
	}
	for _, prefix := range load.EvictedPrefixes {
		delete(set, prefix)
	}
	for _, prefix := range load.CachedPrefixes {
		if len(set) >= maxPrefixes {
			break
		}
		set[prefix] = struct{}{}
	}
	return set
}

// deliverGrant passes a grant to the batch runner. If the channel is full, the
// grant is dropped and expires.
func (l *entryLink) deliverGrant(g *rpc.BatchGrant, now time.Time) {
	l.mu.Lock()
	l.granted = true
	l.mu.Unlock()
	grant := Grant{
		AgentID: l.agent.ID,
		Service: l.agent.Service,
		Items:   int(g.GetItems()),
		Until:   now.Add(time.Duration(g.GetValidMs()) * time.Millisecond),
	}
	select {
	case l.entry.grants <- grant:
	default:
	}
}

// roleFields adds the batch demand to a message.
func (l *entryLink) roleFields(msg *rpc.ControlMessage, now time.Time, heartbeat bool) (due bool, recheck time.Duration) {
	demand := l.entry.demand(l.agent.Service)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		demand = Demand{}
	}
	appeared := (demand.Items > 0) != (l.sentDemand.Items > 0)
	changed := appeared || l.granted || demandDiffers(demand, l.sentDemand)
	if !changed {
		return false, 0
	}
	if wait := minReportInterval - now.Sub(l.demandSentAt); wait > 0 && !appeared && !heartbeat {
		return false, wait
	}
	msg.BatchDemand = &rpc.BatchDemand{Items: uint32(max(0, demand.Items))}
	if !demand.EarliestDue.IsZero() {
		msg.BatchDemand.EarliestDueMs = remainingMS(demand.EarliestDue, now)
	}
	l.sentDemand = demand
	l.demandSentAt = now
	l.granted = false
	return true, 0
}

// remainingMS returns the time until due in milliseconds, but never 0, which
// stands for no due time.
func remainingMS(due, now time.Time) int64 {
	ms := due.Sub(now).Milliseconds()
	if ms == 0 {
		return 1
	}
	return ms
}

// demandDiffers reports whether a demand changed enough to alter an agent's
// decision: by more than a quarter of the items, or by at least a second of
// the due time.
func demandDiffers(a, b Demand) bool {
	if 4*max(a.Items-b.Items, b.Items-a.Items) > b.Items {
		return true
	}
	return a.EarliestDue.Sub(b.EarliestDue).Abs() >= time.Second
}
