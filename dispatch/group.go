package dispatch

import "time"

const (
	// dataCentreExpiry drops a data centre from which nothing is heard; refreshes come
	// each 250 ms.
	dataCentreExpiry = 1500 * time.Millisecond
	// refreshLimit bounds the upstreams that a refresh repeats, to about 800 bytes.
	refreshLimit = 80
	// loadExpiry drops the work on an upstream that is not repeated, although its
	// data centre is heard. In 10 s refreshes repeat 3,200 upstreams.
	loadExpiry = 10 * time.Second
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

// remoteDataCentre is what was heard of another data centre.
type remoteDataCentre struct {
	Digest
	heard time.Time
	loads map[Key]remoteLoad
}

type remoteLoad struct {
	UpstreamLoad
	heard time.Time
}

// advertisedLoad is what the last digests said of an upstream.
type advertisedLoad struct {
	UpstreamLoad
	zerosSent int // digests that said zero, since work ended
}

// Digest sums up the own data centre for others: the upstreams whose work has
// changed since the last digest and, in a refresh, the next ones in turn. It
// reports whether anything has changed.
func (d *Dispatcher) Digest(refresh bool) (Digest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	g := Digest{DataCentre: d.cfg.DataCentre, Gateways: 1, Backlog: d.backlog, Waiting: make(map[Key]int)}
	evidence := sumStats(d.ownOutcomeStats(now))
	sums := make(map[Key]UpstreamLoad, len(d.advertised))
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
		if now.Sub(p.lastHeard) <= outcomeWindow {
			evidence.add(p.report.Outcomes)
		}
	}
	for _, e := range evidence {
		g.Outcomes = append(g.Outcomes, e)
	}
	changed := g.Backlog != d.lastDigest.Backlog || g.Gateways != d.lastDigest.Gateways || len(g.Waiting)+len(d.lastDigest.Waiting) > 0 ||
		len(g.Outcomes)+len(d.lastDigest.Outcomes) > 0
	g.Loads = d.advertise(sums, refresh)
	changed = changed || len(g.Loads) > 0
	d.lastDigest = g
	return g, changed
}

// advertise returns the sums that a digest says, and notes them. The caller holds the lock.
func (d *Dispatcher) advertise(sums map[Key]UpstreamLoad, refresh bool) []UpstreamLoad {
	var counts []UpstreamLoad
	for key, sum := range sums {
		last, known := d.advertised[key]
		if known && last.UpstreamLoad == sum {
			continue
		}
		if !known {
			d.refreshQueue = append(d.refreshQueue, key)
		}
		counts = append(counts, sum)
		d.advertised[key] = advertisedLoad{UpstreamLoad: sum}
	}
	for key, last := range d.advertised {
		if _, works := sums[key]; !works && last.zerosSent == 0 {
			counts = append(counts, UpstreamLoad{Key: key})
			d.advertised[key] = advertisedLoad{UpstreamLoad: UpstreamLoad{Key: key}, zerosSent: 1}
		}
	}
	if refresh {
		counts = append(counts, d.nextRefresh()...)
	}
	return counts
}

// nextRefresh returns the next upstreams in turn, as last told. The caller holds the lock.
func (d *Dispatcher) nextRefresh() []UpstreamLoad {
	n := min(len(d.refreshQueue), refreshLimit)
	turn := d.refreshQueue[:n]
	d.refreshQueue = append([]Key(nil), d.refreshQueue[n:]...)
	var counts []UpstreamLoad
	for _, key := range turn {
		last := d.advertised[key]
		if last.zerosSent > zeroRepeats {
			delete(d.advertised, key)
			continue
		}
		if last.zerosSent > 0 {
			last.zerosSent++
			d.advertised[key] = last
		}
		counts = append(counts, last.UpstreamLoad)
		d.refreshQueue = append(d.refreshQueue, key)
	}
	return counts
}

// MergeDigest takes over what a collector tells of another data centre.
func (d *Dispatcher) MergeDigest(g Digest, now time.Time) {
	if g.DataCentre == d.cfg.DataCentre {
		return
	}
	d.mu.Lock()
	known := d.dataCentres[g.DataCentre]
	if known == nil {
		known = &remoteDataCentre{loads: make(map[Key]remoteLoad)}
		d.dataCentres[g.DataCentre] = known
	}
	counts := g.Loads
	g.Loads = nil
	known.Digest, known.heard = g, now
	for _, c := range counts {
		old := known.loads[c.Key]
		d.addRemoteLoad(c.Key, c.Online-old.Online, c.Batch-old.Batch)
		if c.Online == 0 && c.Batch == 0 {
			delete(known.loads, c.Key)
		} else {
			known.loads[c.Key] = remoteLoad{UpstreamLoad: c, heard: now}
		}
	}
	services := d.servicesWithWaiters()
	var news []ejectionEvent
	if len(g.Outcomes) > 0 {
		news = d.evaluateEjections(now)
	}
	d.mu.Unlock()
	d.logEjections(news)
	d.handlePeerUpdate(services, now)
}

// expireDataCentres drops what has not been repeated. The caller holds the lock.
func (d *Dispatcher) expireDataCentres(now time.Time) {
	for name, g := range d.dataCentres {
		for key, w := range g.loads {
			if now.Sub(w.heard) > loadExpiry || now.Sub(g.heard) > dataCentreExpiry {
				d.addRemoteLoad(key, -w.Online, -w.Batch)
				delete(g.loads, key)
			}
		}
		if now.Sub(g.heard) > dataCentreExpiry {
			delete(d.dataCentres, name)
		}
	}
}
