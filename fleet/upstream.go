package fleet

// Upstream is one incarnation of an engine or plain service.
type Upstream struct {
	ID         string
	Service    string
	Address    string // IP:port
	DataCentre string
	Slots      int   // number of requests that it runs concurrently
	Draining   bool  // accepts no new work
	Started    int64 // start of this incarnation in Unix ms; 0 if not reported
	// SoftwareVersion is the version of the upstream's own software, in no order; empty if
	// not reported. Only an upstream of the same version can resume a stream.
	SoftwareVersion string
}

// Record is an upstream with the store version of its entry. A removed or
// unreadable entry keeps its version, so that an older one cannot replace it.
type Record struct {
	Upstream
	Version uint64
	Removed bool // the entry was deleted or is unreadable
}

// usable reports whether the list alone permits sending new work.
func (r *Record) usable() bool { return !r.Removed && !r.Draining }
