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

// errSilent ends a control stream on which nothing was heard for silentAfter.
var errSilent = errors.New("nothing heard on the control stream")

// Waits before a control stream is opened again. They are jittered, so that
// the entries do not return to a restarted agent together.
const (
	reconnectMin = 100 * time.Millisecond
	reconnectMax = 5 * time.Second
)

// maxPrefixes bounds the cached prefixes known of one agent.
const maxPrefixes = 1024

// entryLink is an entry's link to one agent.
type entryLink struct {
	side  *EntryClient
	agent storage.Instance
	stop  context.CancelFunc
	done  chan struct{} // closed when run returned

	checking atomic.Bool // a check of the online connection runs

	mu         sync.Mutex
	view       Upstream // Leaving and Weight are completed by the membership
	retired    bool     // outside the subset; no new work
	retiredAt  time.Time
	silent     bool
	openedAt   time.Time
	running    int // attempts of all classes
	peer       *peer
	cancel     context.CancelCauseFunc // ends the present stream
	clients    [classCount]*classClient
	demandSent Demand // last announced on the present stream
	demandAt   time.Time
	granted    bool // a grant arrived since the last announcement
}

func newEntryLink(side *EntryClient, agent storage.Instance) *entryLink {
	l := &entryLink{side: side, agent: agent, done: make(chan struct{}), openedAt: time.Now()}
	l.view = Upstream{
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
	wait := reconnectMin
	for ctx.Err() == nil {
		started := time.Now()
		err := l.stream(ctx)
		l.disconnected(err)
		if ctx.Err() != nil {
			return
		}
		l.side.cfg.Logger.Debug().Err(err).Str("agent", l.agent.ID).Msg("control stream ended")
		if time.Since(started) > reconnectMax {
			wait = reconnectMin
		}
		pause.For(ctx, jitter(wait))
		wait = min(2*wait, reconnectMax)
	}
}

// stream runs one control stream on a new TCP connection.
func (l *entryLink) stream(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client := l.side.newClassClient(classControl, l.agent.Address)
	defer client.http.CloseIdleConnections()
	silence := time.AfterFunc(silentAfter, func() { cancel(errSilent) })
	defer silence.Stop()

	p := l.side.spread.newPeer()
	defer l.side.spread.removePeer(p)
	l.opened(p, client, cancel)
	agent := magnoliausherv1connect.NewAgentClient(client.http, client.url, clientOptions()...)
	stream := agent.Control(ctx)
	// net/http notices the end of ctx only when the request body ends.
	defer context.AfterFunc(ctx, func() { _ = stream.CloseRequest() })()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return p.sendLoop(groupCtx, l.parts, stream.Send)
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
		silence.Reset(silentAfter)
		if err := l.receive(p, msg); err != nil {
			return err
		}
	}
}

// opened prepares the state for a new stream.
func (l *entryLink) opened(p *peer, client *classClient, cancel context.CancelCauseFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peer = p
	l.cancel = cancel
	l.clients[classControl] = client
	l.demandSent = Demand{}
	l.demandAt = time.Time{}
}

// disconnected records the end of a stream. A link that went silent stays
// marked until something is heard again.
func (l *entryLink) disconnected(err error) {
	l.mu.Lock()
	l.view.Connected = false
	if errors.Is(err, errSilent) {
		l.silent = true
	}
	l.mu.Unlock()
	l.observe()
}

// receive takes one message of the agent.
func (l *entryLink) receive(p *peer, msg *rpc.ControlMessage) error {
	now := time.Now()
	if !p.receive(msg, now) {
		return nil
	}
	id, incarnation := p.identity()
	if id != l.agent.ID {
		return fmt.Errorf("instance %q answered at the address of %q", id, l.agent.ID)
	}
	changed := l.heard(incarnation, p.isLeaving(), now)
	l.takeLoad(msg.GetLoad(), incarnation, now)
	if changed {
		l.observe()
	}
	if g := msg.GetBatchGrant(); g != nil {
		l.takeGrant(g, now)
	}
	return nil
}

// heard records a message and reports whether the membership should know.
func (l *entryLink) heard(incarnation uint64, leaving bool, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := &l.view
	changed = !v.Connected || v.Leaving != leaving || l.silent
	if v.Incarnation != incarnation {
		v.Incarnation = incarnation
		v.Load = nil // of the earlier process
		v.Prefixes = nil
		changed = true
	}
	v.Connected = true
	v.Leaving = leaving
	v.LastHeard = now
	l.silent = false
	return changed
}

// reopen ends the control stream as silent; run opens a new one.
func (l *entryLink) reopen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		l.cancel(errSilent)
	}
}

// touch records a message of the agent on another connection.
func (l *entryLink) touch(incarnation uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation == l.view.Incarnation {
		l.view.LastHeard = now
	}
}

// observe tells the membership what the link knows, unless a link to a newer
// address of the agent replaced it.
func (l *entryLink) observe() {
	if l.side.link(l.agent.ID) != l {
		return
	}
	l.mu.Lock()
	o := instance.Observation{
		Connected:   l.view.Connected,
		Leaving:     l.view.Leaving,
		Silent:      l.silent,
		Incarnation: l.view.Incarnation,
	}
	l.mu.Unlock()
	l.side.cfg.Members.Observe(l.agent.ID, o, time.Now())
}

// takeLoad keeps a report unless it is older than one seen or of another
// process of the agent. Reports also arrive on the connections of attempts.
func (l *entryLink) takeLoad(load *rpc.LoadReport, incarnation uint64, now time.Time) {
	if load == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	v := &l.view
	if incarnation != v.Incarnation {
		return
	}
	if v.Load == nil || load.AgentTimeMs >= v.Load.AgentTimeMs {
		v.Load = load
		v.LoadAt = now
		v.SentSince = 0
	}
	v.Prefixes = changePrefixes(v.Prefixes, load)
}

// changePrefixes returns a new set, because copies of the old one are in use.
func changePrefixes(old map[uint64]struct{}, load *rpc.LoadReport) map[uint64]struct{} {
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

// takeGrant delivers a permission; when the channel is full it lapses.
func (l *entryLink) takeGrant(g *rpc.BatchGrant, now time.Time) {
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
	case l.side.grants <- grant:
	default:
	}
}

// parts adds the batch demand to a message.
func (l *entryLink) parts(msg *rpc.ControlMessage, now time.Time, heartbeat bool) (due bool, recheck time.Duration) {
	demand := l.side.demand(l.agent.Service)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		demand = Demand{}
	}
	appeared := (demand.Items > 0) != (l.demandSent.Items > 0)
	changed := appeared || l.granted || demandDiffers(demand, l.demandSent)
	if !changed {
		return false, 0
	}
	if wait := reportMin - now.Sub(l.demandAt); wait > 0 && !appeared && !heartbeat {
		return false, wait
	}
	msg.BatchDemand = &rpc.BatchDemand{Items: uint32(max(0, demand.Items))}
	if !demand.EarliestDue.IsZero() {
		msg.BatchDemand.EarliestDueMs = remainingMS(demand.EarliestDue, now)
	}
	l.demandSent = demand
	l.demandAt = now
	l.granted = false
	return true, 0
}

// remainingMS is never 0, which stands for no due time.
func remainingMS(due, now time.Time) int64 {
	ms := due.Sub(now).Milliseconds()
	if ms == 0 {
		return 1
	}
	return ms
}

// demandDiffers ignores changes that do not alter an agent's decision: less
// than a quarter of the items, and less than a second of the due time.
func demandDiffers(a, b Demand) bool {
	if 4*max(a.Items-b.Items, b.Items-a.Items) > b.Items {
		return true
	}
	return a.EarliestDue.Sub(b.EarliestDue).Abs() >= time.Second
}
