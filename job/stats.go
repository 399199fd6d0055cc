package job

// Stats is what an operator sees of one entry's batch work.
type Stats struct {
	Jobs     int                     `json:"jobs"` // running, in the whole fleet
	Chunks   int                     `json:"chunks"`
	Bytes    int64                   `json:"bytes"` // of items and results held
	Limit    int64                   `json:"limit"` // bound of Bytes for claims
	Outage   bool                    `json:"outage"`
	Draining bool                    `json:"draining"`
	Services map[string]ServiceStats `json:"services"`
}

// ServiceStats counts the items of one service in an entry's memory.
type ServiceStats struct {
	Ready   int `json:"ready"`
	Running int `json:"running"`
	Done    int `json:"done"` // in chunks that are not committed
}

// Stats returns the present counts.
func (r *Runner) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Stats{
		Jobs: len(r.jobs), Chunks: len(r.held), Bytes: r.used, Limit: r.cfg.MemoryBytes,
		Outage: r.failing, Draining: r.draining, Services: make(map[string]ServiceStats),
	}
	for _, h := range r.held {
		c := s.Services[h.service]
		c.Ready += h.ready
		c.Running += h.active
		c.Done += len(h.items) - h.left
		s.Services[h.service] = c
	}
	return s
}
