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

// cancelledBuffer limits the announcements waiting for this process. Further
// ones are dropped; job owners find the cancellations by reading job rows.
const cancelledBuffer = 1024

// gossip is the state that a process propagates over all of its control
// streams.
//
// Lock order: gossip.mu before peer.mu. Neither is held while configCodec.mu or
// the locks of the holder and the suspects are acquired.
type gossip struct {
	id           string
	dataCentre   string
	incarnation  uint64
	codec        *configCodec
	suspects     *poison.Table
	logger       zerolog.Logger
	leaving      atomic.Bool
	cancelledIDs chan string

	mu        sync.Mutex
	cancelled *cancelledJobs
	versions  *versionLog
	peers     map[*peer]struct{}
}

func newGossip(id, dataCentre string, incarnation uint64, holder *contract.Holder, suspects *poison.Table, logger zerolog.Logger) *gossip {
	return &gossip{
		id:           id,
		dataCentre:   dataCentre,
		incarnation:  incarnation,
		codec:        &configCodec{holder: holder},
		suspects:     suspects,
		logger:       logger,
		cancelledIDs: make(chan string, cancelledBuffer),
		cancelled:    newCancelledJobs(),
		versions:     newVersionLog(),
		peers:        make(map[*peer]struct{}),
	}
}

// setLeaving notifies all peers that this instance is leaving.
func (s *gossip) setLeaving() {
	s.leaving.Store(true)
	s.wakeAll()
}

// announceCancelled records the id of a cancelled job, announced by a peer or,
// if from is empty, by this process. A new id is forwarded to the other peers.
func (s *gossip) announceCancelled(id, from string, now time.Time) {
	s.mu.Lock()
	isNew := s.cancelled.add(id, from, now)
	s.mu.Unlock()
	if !isNew {
		return
	}
	if from != "" {
		select {
		case s.cancelledIDs <- id:
		default:
		}
	}
	s.wakeAll()
}

func (s *gossip) wakeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.peers {
		p.wakeUp()
	}
}

// recordVersion records the configuration version of an instance.
func (s *gossip) recordVersion(id string, version uint64, heardAt time.Time, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions.record(id, version, heardAt, from)
}

// versionOf returns the last known configuration version of an instance.
func (s *gossip) versionOf(id string, now time.Time) InstanceVersion {
	if id == s.id {
		return InstanceVersion{InstanceID: id, Version: s.codec.holder.Version(), HeardAt: now}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.versions.records[id]
	if r == nil {
		return InstanceVersion{InstanceID: id}
	}
	return InstanceVersion{InstanceID: id, Version: r.version, HeardAt: r.heardAt}
}

// newPeer registers the state of a new control stream.
func (s *gossip) newPeer() *peer {
	p := &peer{gossip: s, wake: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[p] = struct{}{}
	return p
}

func (s *gossip) removePeer(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, p)
}

// peer is the state of one control stream: what was received and what was
// sent.
type peer struct {
	gossip *gossip
	wake   chan struct{} // makes sendLoop check for something to send

	mu          sync.Mutex
	id          string
	dataCentre  string
	incarnation uint64
	heardAt     time.Time
	inSequence  uint64
	version     uint64 // the peer's configuration version
	leaving     bool

	outSequence       uint64
	leavingSent       bool
	sentVersion       uint64 // of the last body sent
	announcedVersion  uint64 // own version in the last message sent
	peerNeedsFullBody bool   // the peer could not apply a delta
	needFullBody      bool   // this process could not apply a delta
	suspectsSent      uint64 // sequence numbers up to which the tables were sent
	cancelledSent     uint64
	versionsSent      uint64
	versionsSentAt    time.Time // of the last message with versions
}

func (p *peer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

// lastHeard returns the arrival time of the last message, zero before the
// first.
func (p *peer) lastHeard() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heardAt
}

// identity returns the id and incarnation that the peer announced.
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

// receive applies the fields that both roles send. It reports false for a
// message whose sequence number is not higher than the last one on the stream.
func (p *peer) receive(msg *rpc.ControlMessage, now time.Time) bool {
	if !p.recordHeader(msg, now) {
		return false
	}
	id, _ := p.identity()
	p.gossip.recordVersion(id, msg.GetConfigVersion(), now, id)
	p.receiveConfig(msg.GetConfig())
	p.gossip.suspects.Merge(msg.GetSuspects(), now)
	for _, job := range msg.GetCancelledJobs() {
		p.gossip.announceCancelled(job, id, now)
	}
	for _, v := range msg.GetInstanceVersions() {
		if v.GetInstanceId() == p.gossip.id {
			continue
		}
		heardAt := now.Add(-time.Duration(v.GetAgeMs()) * time.Millisecond)
		p.gossip.recordVersion(v.GetInstanceId(), v.GetConfigVersion(), heardAt, id)
	}
	return true
}

// recordHeader records the header of a message and reports whether the message
// is new.
func (p *peer) recordHeader(msg *rpc.ControlMessage, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if msg.GetSequence() <= p.inSequence {
		return false
	}
	first := p.inSequence == 0
	p.inSequence = msg.GetSequence()
	p.heardAt = now
	if first {
		p.id = msg.GetSenderId()
		p.dataCentre = msg.GetDataCentre()
		p.incarnation = msg.GetIncarnation()
	}
	p.leaving = p.leaving || msg.GetLeaving()
	p.updateVersion(msg.GetConfigVersion(), first)
	return true
}

// updateVersion tracks the peer's version. A version of 0 after a body was
// sent requests a full body, because the peer could not apply a delta.
func (p *peer) updateVersion(version uint64, first bool) {
	if version == 0 && !first && p.sentVersion > 0 {
		p.peerNeedsFullBody = true
		p.sentVersion = 0
	}
	p.version = max(p.version, version)
	if p.gossip.codec.holder.Version() > p.version {
		p.wakeUp()
	}
}

func (p *peer) receiveConfig(body *rpc.ConfigBody) {
	if body == nil {
		return
	}
	err := p.gossip.codec.apply(body)
	if err == nil {
		return
	}
	p.gossip.logger.Warn().Err(err).Uint64("version", body.GetVersion()).Msg("cannot apply the configuration received from a peer")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.needFullBody = true
	p.wakeUp()
}

// compose builds the next message. urgent means that it contains something
// that peers must receive at once.
func (p *peer) compose(now time.Time) (msg *rpc.ControlMessage, urgent bool) {
	if err := p.gossip.codec.recordCurrent(); err != nil {
		p.gossip.logger.Error().Err(err).Msg("cannot encode the configuration")
	}
	msg = new(rpc.ControlMessage)
	msg.Leaving = p.gossip.leaving.Load()
	urgent = p.composeConfig(msg)
	suspects, sequence := p.gossip.suspects.ExportSince(p.suspectsSent, now)
	msg.Suspects = suspects
	p.suspectsSent = sequence
	id, _ := p.identity()
	p.gossip.mu.Lock()
	msg.CancelledJobs, p.cancelledSent = p.gossip.cancelled.since(p.cancelledSent, id, now)
	p.gossip.mu.Unlock()
	if msg.Leaving && !p.leavingSent {
		p.leavingSent = true
		urgent = true
	}
	return msg, urgent || len(msg.Suspects) > 0 || len(msg.CancelledJobs) > 0
}

// composeConfig adds the configuration body if the peer is known to be behind.
func (p *peer) composeConfig(msg *rpc.ControlMessage) (urgent bool) {
	p.mu.Lock()
	known := p.inSequence > 0
	behind := max(p.version, p.sentVersion)
	base, full := p.version, p.peerNeedsFullBody
	// A new version is announced at once, so that an operator's confirmation
	// does not wait for a heartbeat.
	urgent = p.needFullBody || p.gossip.codec.holder.Version() > p.announcedVersion
	p.mu.Unlock()
	if !known || p.gossip.codec.holder.Version() <= behind {
		return urgent
	}
	body, err := p.gossip.codec.bodyFor(base, full)
	if err != nil {
		p.gossip.logger.Error().Err(err).Uint64("base", base).Msg("cannot encode the configuration")
	}
	if err != nil || body == nil {
		return urgent
	}
	msg.Config = body
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentVersion = body.Version
	p.peerNeedsFullBody = false
	return true
}

// finish adds the header and the versions of other instances.
func (p *peer) finish(msg *rpc.ControlMessage, now time.Time) {
	p.mu.Lock()
	p.outSequence++
	msg.Sequence = p.outSequence
	msg.ConfigVersion = p.gossip.codec.holder.Version()
	p.announcedVersion = msg.ConfigVersion
	if p.needFullBody && p.outSequence > 1 {
		msg.ConfigVersion = 0
		p.needFullBody = false
	}
	if p.outSequence == 1 { // later messages omit the sender
		msg.SenderId = p.gossip.id
		msg.Incarnation = p.gossip.incarnation
		msg.DataCentre = p.gossip.dataCentre
	}
	id := p.id
	p.mu.Unlock()
	p.addVersions(msg, id, now)
}

// addVersions adds versions of other instances, at most once per
// versionsInterval.
func (p *peer) addVersions(msg *rpc.ControlMessage, id string, now time.Time) {
	if now.Sub(p.versionsSentAt) < versionsInterval {
		return
	}
	p.gossip.mu.Lock()
	defer p.gossip.mu.Unlock()
	msg.InstanceVersions, p.versionsSent = p.gossip.versions.since(p.versionsSent, id, now)
	if len(msg.InstanceVersions) > 0 {
		p.versionsSentAt = now
	}
}
