package job

// Stats is the state of one entry's batch work and the number of running jobs in the
// fleet, as shown to operators.
type Stats struct {
	Jobs     int                     `json:"jobs"` // running jobs of the whole fleet
	Chunks   int                     `json:"chunks"`
	Bytes    int64                   `json:"bytes"` // of items and results held
	Limit    int64                   `json:"limit"` // no chunks are claimed at or above it
	Outage   bool                    `json:"outage"`
	Draining bool                    `json:"draining"`
	Services map[string]ServiceStats `json:"services"`
}

// ServiceStats counts the items of one service in an entry's memory.
type ServiceStats struct {
	Ready   int `json:"ready"`
	Running int `json:"running"`
	Done    int `json:"done"` // in chunks that are not yet committed
}

// Stats returns the current counts.
func (r *Runner) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Stats{
		Jobs: len(r.jobs), Chunks: len(r.held), Bytes: r.usedBytes, Limit: r.cfg.MemoryBytes,
		Outage: r.outage, Draining: r.draining, Services: make(map[string]ServiceStats),
	}
	for _, h := range r.held {
		c := s.Services[h.service]
		c.Ready += h.ready
		c.Running += h.running
		c.Done += len(h.items) - h.unfinished
		s.Services[h.service] = c
	}
	return s
}
