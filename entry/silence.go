package entry

import (
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/link"
)

// unresponsiveAgents tracks agents that did not respond to an attempt. Until they are
// heard from again, other upstreams are preferred. Otherwise the packing rules, which
// prefer upstreams with online work, would send request after request to a lost agent
// whose last report shows such work.
type unresponsiveAgents struct {
	mu       sync.Mutex
	markedAt map[string]time.Time // time of the last mark, by agent ID
}

func newUnresponsiveAgents() *unresponsiveAgents {
	return &unresponsiveAgents{markedAt: make(map[string]time.Time)}
}

// mark records that an agent did not respond. It replaces an earlier mark, so that only
// a message received after now clears it.
func (s *unresponsiveAgents) mark(agent string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markedAt[agent] = now
}

// exclude appends the agents of the snapshot that are still unresponsive, and removes
// the marks of those heard from since. It does not change the elements of list.
func (s *unresponsiveAgents) exclude(list []string, snapshot []link.Upstream) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.markedAt) == 0 {
		return list
	}
	list = list[:len(list):len(list)]
	for i := range snapshot {
		u := &snapshot[i]
		markedAt, marked := s.markedAt[u.AgentID]
		switch {
		case !marked:
		case u.LastHeard.After(markedAt):
			delete(s.markedAt, u.AgentID)
		default:
			list = append(list, u.AgentID)
		}
	}
	return list
}

// unresponsiveTTL bounds how long the mark of an agent that has left is kept.
const unresponsiveTTL = time.Minute

// removeOld removes marks older than unresponsiveTTL.
func (s *unresponsiveAgents) removeOld(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for agent, markedAt := range s.markedAt {
		if now.Sub(markedAt) > unresponsiveTTL {
			delete(s.markedAt, agent)
		}
	}
}

// agentUnresponsive reports whether the attempt ended without a response from the
// agent.
func (r *result) agentUnresponsive() bool {
	switch r.reason {
	case reasonNoLink, reasonNotAccepted, reasonNoProgress, reasonLost, reasonProbe:
		return true
	}
	return false
}
