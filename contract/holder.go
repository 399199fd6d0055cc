package contract

import (
	"sync"
	"sync/atomic"
)

// Holder keeps the newest configuration of a process. Its version only rises.
type Holder struct {
	current atomic.Pointer[Index]

	mu       sync.Mutex
	watchers []chan struct{}
}

// Current returns the configuration in force, or nil before the first one.
func (h *Holder) Current() *Index { return h.current.Load() }

// Version returns the version in force, 0 before the first one.
func (h *Holder) Version() uint64 {
	if ix := h.current.Load(); ix != nil {
		return ix.Document.Version
	}
	return 0
}

// SetIfNewer puts the document in force if its version is higher than the current
// one, and reports whether it did.
func (h *Holder) SetIfNewer(doc *Document) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if doc == nil || doc.Version <= h.Version() {
		return false
	}
	h.current.Store(NewIndex(doc))
	for _, w := range h.watchers {
		select {
		case w <- struct{}{}:
		default: // the watcher has a notice pending already
		}
	}
	return true
}

// Watch returns a channel that gets a value after changes, several of which
// may be joined into one. stop ends the notices.
func (h *Holder) Watch() (changes <-chan struct{}, stop func()) {
	w := make(chan struct{}, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, w)
	return w, func() { h.remove(w) }
}

func (h *Holder) remove(w chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, have := range h.watchers {
		if have == w {
			h.watchers = append(h.watchers[:i], h.watchers[i+1:]...)
			return
		}
	}
}
