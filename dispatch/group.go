package dispatch

import "time"

const (
	// groupExpiry drops a data centre from which nothing is heard; refreshes come
	// each 250 ms.
	groupExpiry = 1500 * time.Millisecond
	// refreshCounts bounds the upstreams that a refresh repeats, to about 800 bytes.
	refreshCounts = 80
	// countExpiry drops the work on an upstream that is not repeated, although its
	// data centre is heard. In 10 s refreshes repeat 3,200 upstreams.
	countExpiry = 10 * time.Second
	// zeroRepeats is how often the end of the work on an upstream is told again in
	// refreshes, since the datagram that told it first may have been lost.
	zeroRepeats = 4
)

// Digest sums up the work of the gateways of a data centre.
type Digest struct {
	DataCentre string
	Gateways   int
	Backlog    int
	Waiting    map[Key]int    // online requests that wait, by service
	Loads      []UpstreamLoad // of some upstreams or all; a count of zero ends an upstream's work
	Outcomes   []OutcomeStats // all, against upstreams that broke answers
}

// group is what was heard of another data centre.
type group struct {
	Digest
	heard time.Time
	work  map[Key]groupWork
}

type groupWork struct {
	UpstreamLoad
	heard time.Time
}

// told is what the last digests said of an upstream.
type told struct {
	UpstreamLoad
	zeros int // digests that said zero, since work ended
}

// Digest sums up the own data centre for others: the upstreams whose work has
// changed since the last digest and, in a refresh, the next ones in turn. It
// reports whether anything has changed.
func (d *Dispatcher) Digest(refresh bool) (Digest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	g := Digest{DataCentre: d.cfg.DataCentre, Gateways: 1, Backlog: d.backlog, Waiting: make(map[Key]int)}
	evidence := sumEvidence(d.ownEvidence(now))
	sums := make(map[Key]UpstreamLoad, len(d.told))
	add := func(c UpstreamLoad) {
		sum := sums[c.Key]
		sums[c.Key] = UpstreamLoad{Key: c.Key, Online: sum.Online + c.Online, Batch: sum.Batch + c.Batch}
	}
	for _, s := range d.upstreams {
		if s.online > 0 || s.batch > 0 {
			add(UpstreamLoad{Key: s.key, Online: s.online, Batch: s.batch})
		}
	}
	for service, q := range d.queues {
		if len(q.waiters) > 0 {
			g.Waiting[KeyOf(service)] += len(q.waiters)
		}
	}
	for _, p := range d.peers {
		if p.report.DataCentre != d.cfg.DataCentre {
			continue
		}
		g.Gateways++
		g.Backlog += p.report.Backlog
		for service, n := range p.report.Waiting {
			g.Waiting[service] += n
		}
		for _, c := range p.report.Loads {
			add(c)
		}
		if now.Sub(p.heard) <= evidenceWindow {
			evidence.add(p.report.Outcomes)
		}
	}
	for _, e := range evidence {
		g.Outcomes = append(g.Outcomes, e)
	}
	changed := g.Backlog != d.lastDigest.Backlog || g.Gateways != d.lastDigest.Gateways || len(g.Waiting)+len(d.lastDigest.Waiting) > 0 ||
		len(g.Outcomes)+len(d.lastDigest.Outcomes) > 0
	g.Loads = d.tell(sums, refresh)
	changed = changed || len(g.Loads) > 0
	d.lastDigest = g
	return g, changed
}

// tell returns the sums that a digest says, and notes them. The caller holds the lock.
func (d *Dispatcher) tell(sums map[Key]UpstreamLoad, refresh bool) []UpstreamLoad {
	var counts []UpstreamLoad
	for key, sum := range sums {
		last, known := d.told[key]
		if known && last.UpstreamLoad == sum {
			continue
		}
		if !known {
			d.rotation = append(d.rotation, key)
		}
		counts = append(counts, sum)
		d.told[key] = told{UpstreamLoad: sum}
	}
	for key, last := range d.told {
		if _, works := sums[key]; !works && last.zeros == 0 {
			counts = append(counts, UpstreamLoad{Key: key})
			d.told[key] = told{UpstreamLoad: UpstreamLoad{Key: key}, zeros: 1}
		}
	}
	if refresh {
		counts = append(counts, d.repeat()...)
	}
	return counts
}

// repeat returns the next upstreams in turn, as last told. The caller holds the lock.
func (d *Dispatcher) repeat() []UpstreamLoad {
	n := min(len(d.rotation), refreshCounts)
	turn := d.rotation[:n]
	d.rotation = append([]Key(nil), d.rotation[n:]...)
	var counts []UpstreamLoad
	for _, key := range turn {
		last := d.told[key]
		if last.zeros > zeroRepeats {
			delete(d.told, key)
			continue
		}
		if last.zeros > 0 {
			last.zeros++
			d.told[key] = last
		}
		counts = append(counts, last.UpstreamLoad)
		d.rotation = append(d.rotation, key)
	}
	return counts
}

// MergeDigest takes over what a collector tells of another data centre.
func (d *Dispatcher) MergeDigest(g Digest, now time.Time) {
	if g.DataCentre == d.cfg.DataCentre {
		return
	}
	d.mu.Lock()
	known := d.groups[g.DataCentre]
	if known == nil {
		known = &group{work: make(map[Key]groupWork)}
		d.groups[g.DataCentre] = known
	}
	counts := g.Loads
	g.Loads = nil
	known.Digest, known.heard = g, now
	for _, c := range counts {
		old := known.work[c.Key]
		d.addRemote(c.Key, c.Online-old.Online, c.Batch-old.Batch)
		if c.Online == 0 && c.Batch == 0 {
			delete(known.work, c.Key)
		} else {
			known.work[c.Key] = groupWork{UpstreamLoad: c, heard: now}
		}
	}
	services := d.waiting()
	var news []ejected
	if len(g.Outcomes) > 0 {
		news = d.judge(now)
	}
	d.mu.Unlock()
	d.logEjected(news)
	d.peersChanged(services, now)
}

// expireGroups drops what has not been repeated. The caller holds the lock.
func (d *Dispatcher) expireGroups(now time.Time) {
	for name, g := range d.groups {
		for key, w := range g.work {
			if now.Sub(w.heard) > countExpiry || now.Sub(g.heard) > groupExpiry {
				d.addRemote(key, -w.Online, -w.Batch)
				delete(g.work, key)
			}
		}
		if now.Sub(g.heard) > groupExpiry {
			delete(d.groups, name)
		}
	}
}
