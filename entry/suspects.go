package entry

import (
	"sync"
)

// suspectTracker knows which agents run a suspect of this entry, so that two
// suspects do not share an upstream. The agent enforces it for all entries.
type suspectTracker struct {
	mu      sync.Mutex
	running map[string]int // by agent id
}

// choose calls f with the agents that run suspects and marks the one it
// returns. An empty id marks none.
func (t *suspectTracker) choose(f func(busy []string) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	busy := make([]string, 0, len(t.running))
	for id := range t.running {
		busy = append(busy, id)
	}
	if id := f(busy); id != "" {
		t.running[id]++
	}
}

func (t *suspectTracker) end(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[id]--
	if t.running[id] <= 0 {
		delete(t.running, id)
	}
}
