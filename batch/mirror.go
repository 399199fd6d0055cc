package batch

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/storage"
)

// freshFor: the copy counts as current for this long after the feed's last
// answer. The feed answers at least once a second.
const freshFor = 1400 * time.Millisecond

// entry is a job as last seen.
type entry struct {
	Job
	version uint64
	seen    time.Time // when this process first saw it with this owner
}

// mirror is a copy of all job rows, kept by the feed and by own writes.
type mirror struct {
	log zerolog.Logger

	mu      sync.Mutex
	jobs    map[string]*entry
	quotas  map[string]uint64 // versions of quota rows, by route
	fresh   time.Time
	changed chan struct{}
}

func newMirror(log zerolog.Logger) *mirror {
	return &mirror{log: log, jobs: make(map[string]*entry), quotas: make(map[string]uint64), changed: make(chan struct{})}
}

func (m *mirror) markFresh() {
	m.mu.Lock()
	m.fresh = time.Now()
	m.mu.Unlock()
}

func (m *mirror) markStale() {
	m.mu.Lock()
	m.fresh = time.Time{}
	m.mu.Unlock()
}

// current reports whether the copy is up to date.
func (m *mirror) current(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.fresh) < freshFor
}

// get returns a copy of a job.
func (m *mirror) get(id string) (entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.jobs[id]
	if e == nil {
		return entry{}, false
	}
	return *e, true
}

// all returns copies of the jobs that a filter selects.
func (m *mirror) all(filter func(*entry) bool) []entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []entry
	for _, e := range m.jobs {
		if filter(e) {
			list = append(list, *e)
		}
	}
	return list
}

// quota returns the tokens that wait on a route and the version of the quota
// row that the sum belongs to.
func (m *mirror) quota(route string) (tokens int64, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.jobs {
		if e.Route == route && !e.closed() {
			tokens += e.OpenTokens
		}
	}
	return tokens, m.quotas[route]
}

// watch returns a channel that is closed at the next change.
func (m *mirror) watch() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *mirror) replace(rows []storage.Row, version uint64) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[string]bool, len(rows))
	for _, r := range rows {
		seen[r.Key] = true
		m.put(r, now)
	}
	for id, e := range m.jobs {
		if e.version <= version && !seen[jobKey(id)] {
			delete(m.jobs, id)
		}
	}
	m.notify()
}

func (m *mirror) apply(changes []storage.Change) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range changes {
		if !c.Removed {
			m.put(c.Row, now)
			continue
		}
		id := strings.TrimPrefix(c.Key, idPrefix)
		if e := m.jobs[id]; e != nil && e.version < c.Version {
			delete(m.jobs, id)
		}
	}
	m.notify()
}

// write records an own write before the feed tells of it.
func (m *mirror) write(j Job, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.putJob(j, version, time.Now())
	m.notify()
}

func (m *mirror) writeQuota(route string, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quotas[route] = max(m.quotas[route], version)
}

func (m *mirror) put(r storage.Row, now time.Time) {
	if route, isQuota := strings.CutPrefix(r.Key, quotaPrefix); isQuota {
		m.quotas[route] = max(m.quotas[route], r.Version)
		return
	}
	var j Job
	if err := json.Unmarshal(r.Value, &j); err != nil || jobKey(j.ID) != r.Key {
		m.log.Error().Err(err).Str("key", r.Key).Uint64("row", r.Version).Msg("job row not understood")
		return
	}
	m.putJob(j, r.Version, now)
}

func (m *mirror) putJob(j Job, version uint64, now time.Time) {
	old := m.jobs[j.ID]
	if old != nil && old.version >= version {
		return
	}
	e := &entry{Job: j, version: version, seen: now}
	if old != nil && old.Owner == j.Owner && old.OwnerIncarnation == j.OwnerIncarnation {
		e.seen = old.seen
	}
	m.jobs[j.ID] = e
}

func (m *mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
