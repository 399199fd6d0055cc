package fleet

// Upstream is one incarnation of an engine or plain service.
type Upstream struct {
	ID         string
	Service    string
	Address    string // IP:port
	DataCentre string
	Slots      int   // requests that it runs at once
	Draining   bool  // takes no new work
	Started    int64 // Unix ms of this incarnation's start; 0 if it does not say
}

// Record is an upstream with the store's version of its entry. A removed or
// unreadable entry keeps its version, so that an older one cannot replace it.
type Record struct {
	Upstream
	Version uint64
	Removed bool // the entry is gone, or names no upstream to use
}

// usable reports whether new work may be sent according to the list alone.
func (r *Record) usable() bool { return !r.Removed && !r.Draining }
