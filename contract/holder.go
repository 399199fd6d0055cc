package contract

import (
	"sync"
	"sync/atomic"
)

// Holder holds the configuration in force in a process. Its version never
// decreases. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Index]

	mu       sync.Mutex
	watchers []chan struct{}
}

// Current returns the configuration in force, or nil if there is none yet.
func (h *Holder) Current() *Index { return h.current.Load() }

// Version returns the version in force, or 0 if there is none yet.
func (h *Holder) Version() uint64 {
	if ix := h.current.Load(); ix != nil {
		return ix.Document.Version
	}
	return 0
}

// SetIfNewer puts the document in force if its version is higher than the
// current one, and reports whether it did.
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
		default: // the watcher already has a pending notification
		}
	}
	return true
}

// Watch returns a channel that receives a value after a change; several changes
// may be coalesced into one value. stop ends the notifications.
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
