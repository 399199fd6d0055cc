package entry

import (
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/link"
)

// silence remembers the agents that did not answer an attempt. Until something
// is heard of them again, other upstreams are preferred. Without it, packing
// would send request after request to a lost agent whose last report shows
// online work.
type silence struct {
	mu    sync.Mutex
	since map[string]time.Time // by agent id
}

func newSilence() *silence {
	return &silence{since: make(map[string]time.Time)}
}

// note marks an agent.
func (s *silence) note(agent string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since[agent] = now
}

// exclude appends the agents of the snapshot that are still silent, and forgets
// those heard of since. It never changes the elements of list.
func (s *silence) exclude(list []string, snapshot []link.Upstream) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.since) == 0 {
		return list
	}
	list = list[:len(list):len(list)]
	for i := range snapshot {
		u := &snapshot[i]
		since, marked := s.since[u.AgentID]
		switch {
		case !marked:
		case u.LastHeard.After(since):
			delete(s.since, u.AgentID)
		default:
			list = append(list, u.AgentID)
		}
	}
	return list
}

// maxSilence bounds how long the mark of an agent that has left is kept.
const maxSilence = time.Minute

// removeOld forgets agents that no snapshot has named for long.
func (s *silence) removeOld(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for agent, since := range s.since {
		if now.Sub(since) > maxSilence {
			delete(s.since, agent)
		}
	}
}

// unanswered reports whether the attempt ended without a word of the agent.
func (r *result) unanswered() bool {
	switch r.reason {
	case reasonNoLink, reasonNotAccepted, reasonNoProgress, reasonLost, reasonProbe:
		return true
	}
	return false
}
