package link

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// cancelledBuffer bounds the announcements waiting for the process. When it is
// full further ones are dropped; holders find them by reading job rows.
const cancelledBuffer = 1024

// spread is what a process passes on along all of its control streams.
//
// Lock order: spread.mu before peer.mu; bodies.mu and the locks of the holder
// and the suspects are taken without either.
type spread struct {
	id          string
	dataCentre  string
	incarnation uint64
	bodies      *bodies
	suspects    *poison.Table
	logger      zerolog.Logger
	leaving     atomic.Bool
	cancelOut   chan string

	mu        sync.Mutex
	cancelled *cancelledJobs
	versions  *versionLog
	peers     map[*peer]struct{}
}

func newSpread(id, dataCentre string, incarnation uint64, holder *contract.Holder, suspects *poison.Table, logger zerolog.Logger) *spread {
	return &spread{
		id:          id,
		dataCentre:  dataCentre,
		incarnation: incarnation,
		bodies:      &bodies{holder: holder},
		suspects:    suspects,
		logger:      logger,
		cancelOut:   make(chan string, cancelledBuffer),
		cancelled:   newCancelledJobs(),
		versions:    newVersionLog(),
		peers:       make(map[*peer]struct{}),
	}
}

// setLeaving sends the leaving notice to all peers.
func (s *spread) setLeaving() {
	s.leaving.Store(true)
	s.wakeAll()
}

// announceCancelled takes the id of a cancelled job from a peer, or from this
// process when from is empty, and forwards a new one.
func (s *spread) announceCancelled(id, from string, now time.Time) {
	s.mu.Lock()
	isNew := s.cancelled.add(id, from, now)
	s.mu.Unlock()
	if !isNew {
		return
	}
	if from != "" {
		select {
		case s.cancelOut <- id:
		default:
		}
	}
	s.wakeAll()
}

func (s *spread) wakeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.peers {
		p.wakeUp()
	}
}

// noteVersion takes a version in force.
func (s *spread) noteVersion(id string, version uint64, heardAt time.Time, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions.note(id, version, heardAt, from)
}

// versionOf returns what was last heard of an instance.
func (s *spread) versionOf(id string, now time.Time) InstanceVersion {
	if id == s.id {
		return InstanceVersion{InstanceID: id, Version: s.bodies.holder.Version(), HeardAt: now}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.versions.records[id]
	if r == nil {
		return InstanceVersion{InstanceID: id}
	}
	return InstanceVersion{InstanceID: id, Version: r.version, HeardAt: r.heardAt}
}

// newPeer starts the state of one stream.
func (s *spread) newPeer() *peer {
	p := &peer{spread: s, wake: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[p] = struct{}{}
	return p
}

func (s *spread) removePeer(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, p)
}

// peer is the state of one control stream: what was heard and what was sent.
type peer struct {
	spread *spread
	wake   chan struct{} // asks the sender to look for something to send

	mu          sync.Mutex
	id          string
	dataCentre  string
	incarnation uint64
	heard       time.Time
	inSequence  uint64
	version     uint64 // configuration in force at the peer
	leaving     bool

	outSequence      uint64
	leavingSent      bool
	sentVersion      uint64 // of the last body sent
	announcedVersion uint64 // own version in the last message sent
	peerWantsFull    bool   // the peer could not apply a delta
	wantFull         bool   // this process could not apply a delta
	suspectsSent     uint64 // sequence numbers of the tables
	cancelledSent    uint64
	versionsSent     uint64
	versionsAt       time.Time // of the last message with versions
}

func (p *peer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

// lastHeard is the arrival of the last message, zero before the first.
func (p *peer) lastHeard() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heard
}

// identity returns who the peer said it is.
func (p *peer) identity() (id string, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id, p.incarnation
}

func (p *peer) isLeaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving
}

// receive applies the parts of a message that both sides share. It reports
// false for a message that is not newer than one seen on the stream.
func (p *peer) receive(msg *rpc.ControlMessage, now time.Time) bool {
	if !p.note(msg, now) {
		return false
	}
	id, _ := p.identity()
	p.spread.noteVersion(id, msg.GetConfigVersion(), now, id)
	p.receiveConfig(msg.GetConfig())
	p.spread.suspects.Merge(msg.GetSuspects(), now)
	for _, job := range msg.GetCancelledJobs() {
		p.spread.announceCancelled(job, id, now)
	}
	for _, v := range msg.GetInstanceVersions() {
		if v.GetInstanceId() == p.spread.id {
			continue
		}
		heardAt := now.Add(-time.Duration(v.GetAgeMs()) * time.Millisecond)
		p.spread.noteVersion(v.GetInstanceId(), v.GetConfigVersion(), heardAt, id)
	}
	return true
}

// note takes the header of a message.
func (p *peer) note(msg *rpc.ControlMessage, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if msg.GetSequence() <= p.inSequence {
		return false
	}
	first := p.inSequence == 0
	p.inSequence = msg.GetSequence()
	p.heard = now
	if first {
		p.id = msg.GetSenderId()
		p.dataCentre = msg.GetDataCentre()
		p.incarnation = msg.GetIncarnation()
	}
	p.leaving = p.leaving || msg.GetLeaving()
	p.noteVersion(msg.GetConfigVersion(), first)
	return true
}

// noteVersion follows the peer's version. A version of 0 after a higher one
// asks for a whole body, because a delta could not be applied.
func (p *peer) noteVersion(version uint64, first bool) {
	if version == 0 && !first && p.sentVersion > 0 {
		p.peerWantsFull = true
		p.sentVersion = 0
	}
	p.version = max(p.version, version)
	if p.spread.bodies.holder.Version() > p.version {
		p.wakeUp()
	}
}

func (p *peer) receiveConfig(body *rpc.ConfigBody) {
	if body == nil {
		return
	}
	err := p.spread.bodies.take(body)
	if err == nil {
		return
	}
	p.spread.logger.Warn().Err(err).Uint64("version", body.GetVersion()).Msg("configuration body of a peer not usable")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wantFull = true
	p.wakeUp()
}

// compose builds the next message. urgent is set when it holds something that
// peers must get at once.
func (p *peer) compose(now time.Time) (msg *rpc.ControlMessage, urgent bool) {
	if err := p.spread.bodies.remember(); err != nil {
		p.spread.logger.Error().Err(err).Msg("encoding the configuration failed")
	}
	msg = new(rpc.ControlMessage)
	msg.Leaving = p.spread.leaving.Load()
	urgent = p.composeConfig(msg)
	suspects, sequence := p.spread.suspects.ExportSince(p.suspectsSent, now)
	msg.Suspects = suspects
	p.suspectsSent = sequence
	id, _ := p.identity()
	p.spread.mu.Lock()
	msg.CancelledJobs, p.cancelledSent = p.spread.cancelled.since(p.cancelledSent, id, now)
	p.spread.mu.Unlock()
	if msg.Leaving && !p.leavingSent {
		p.leavingSent = true
		urgent = true
	}
	return msg, urgent || len(msg.Suspects) > 0 || len(msg.CancelledJobs) > 0
}

// composeConfig adds the body when the peer is known to be behind.
func (p *peer) composeConfig(msg *rpc.ControlMessage) (urgent bool) {
	p.mu.Lock()
	known := p.inSequence > 0
	behind := max(p.version, p.sentVersion)
	base, full := p.version, p.peerWantsFull
	// A new version is announced at once, so that an operator's confirmation does not
	// wait for a heartbeat.
	urgent = p.wantFull || p.spread.bodies.holder.Version() > p.announcedVersion
	p.mu.Unlock()
	if !known || p.spread.bodies.holder.Version() <= behind {
		return urgent
	}
	body, err := p.spread.bodies.forPeer(base, full)
	if err != nil {
		p.spread.logger.Error().Err(err).Uint64("base", base).Msg("encoding the configuration failed")
	}
	if err != nil || body == nil {
		return urgent
	}
	msg.Config = body
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentVersion = body.Version
	p.peerWantsFull = false
	return true
}

// finish adds the header and what rides along with any message.
func (p *peer) finish(msg *rpc.ControlMessage, now time.Time) {
	p.mu.Lock()
	p.outSequence++
	msg.Sequence = p.outSequence
	msg.ConfigVersion = p.spread.bodies.holder.Version()
	p.announcedVersion = msg.ConfigVersion
	if p.wantFull && p.outSequence > 1 {
		msg.ConfigVersion = 0
		p.wantFull = false
	}
	if p.outSequence == 1 { // the stream identifies the sender from here on
		msg.SenderId = p.spread.id
		msg.Incarnation = p.spread.incarnation
		msg.DataCentre = p.spread.dataCentre
	}
	id := p.id
	p.mu.Unlock()
	p.addVersions(msg, id, now)
}

// addVersions adds versions in force, at most every versionsEvery.
func (p *peer) addVersions(msg *rpc.ControlMessage, id string, now time.Time) {
	if now.Sub(p.versionsAt) < versionsEvery {
		return
	}
	p.spread.mu.Lock()
	defer p.spread.mu.Unlock()
	msg.InstanceVersions, p.versionsSent = p.spread.versions.since(p.versionsSent, id, now)
	if len(msg.InstanceVersions) > 0 {
		p.versionsAt = now
	}
}
