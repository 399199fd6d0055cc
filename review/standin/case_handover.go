package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	handoverGateways = 3
	handoverEngines  = 6
	handoverItems    = 8
	handoverTraffic  = 70 * time.Second
	handoverRate     = 300 * time.Millisecond // between two jobs
	handoverPause    = 20 * time.Millisecond
	// The doses of the disruptions; claim.txt quotes their limits.
	lostShare   = 0.35
	lostTime    = 4500 * time.Millisecond
	lostBetween = 1500 * time.Millisecond
	rollGap     = 1300 * time.Millisecond
	graceTime   = 8 * time.Second
)

// itemEvents returns the number of events of an item, 20 to 99, so that the items of a job end in
// another order than they stand in it.
func itemEvents(id string) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return 20 + int(h.Sum32()%80)
}

// listing is what clients have read of a job.
type listing struct {
	mu       sync.Mutex
	results  []string       // by position: item, state and text
	position map[string]int // by item
	total    int
}

// handover: gateways are stopped and started in turn while some of the store's answers are lost and
// their writes are done late.
func handover(w *world) []string {
	const service = "reife-llm"
	w.configure(map[string]any{"name": "r-night-report", "host": routeHost, "path-prefix": "/night-report/", "kind": "batch", "timeout-ms": 15000,
		"target-latency-ms": 500, "completion-target-ms": 18000, "retention-s": 600, "priority": 2, "service": service, "max-attempts": 3, "sticky": true,
		"resumable": true, "gap-target-ms": 300, "cap": 1700000})
	for n := range handoverEngines {
		w.startEngine(&engine{id: fmt.Sprintf("i-%d", n), service: service, slots: 8, answer: answerItem})
	}
	gateways := w.startGateways(handoverGateways)
	var broken []string
	var mu sync.Mutex
	report := func(format string, arguments ...any) {
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, fmt.Sprintf(format, arguments...))
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	var disruptions sync.WaitGroup
	if w.trouble {
		disruptions.Go(func() { loseAnswers(w, stop) })
		disruptions.Go(func() { rollGateways(w, gateways, stop) })
	}
	jobs := make(map[string]*listing)
	began := time.Now()
	for n := 0; time.Since(began) < handoverTraffic; n++ {
		id := fmt.Sprintf("job-%03d", n)
		l := &listing{position: make(map[string]int)}
		jobs[id] = l
		clients.Go(func() {
			for attempt := range 3 {
				if submitJob(w, gateways[(n+attempt)%len(gateways)], "/night-report/", id, handoverItems) == http.StatusAccepted {
					followJob(w, gateways, id, l, began.Add(handoverTraffic+finishTime), report)
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		time.Sleep(handoverRate)
	}
	close(stop)
	disruptions.Wait()
	clients.Wait()
	w.log("%d transactions of the store got no answer", w.store.lost)
	for id, l := range jobs {
		if l.total > 0 { // accepted and read before: it is read from the start again
			l.read(w, gateways[rand.IntN(len(gateways))], id, 0, report)
		}
	}
	return broken
}

// loseAnswers makes the store lose answers for some seconds at a time.
func loseAnswers(w *world, stop chan struct{}) {
	for {
		w.store.setLate(lostShare)
		ended := waitOr(lostTime, stop)
		w.store.setLate(0)
		if ended || waitOr(lostBetween, stop) {
			return
		}
	}
}

// waitOr waits and reports whether stop was closed meanwhile.
func waitOr(d time.Duration, stop chan struct{}) bool {
	select {
	case <-stop:
		return true
	case <-time.After(d):
		return false
	}
}

// rollGateways stops and starts the gateways in turn.
func rollGateways(w *world, gateways []*gateway, stop chan struct{}) {
	for n := 0; ; n++ {
		g := gateways[n%len(gateways)]
		w.log("%s: SIGTERM", g.name)
		g.signal(syscall.SIGTERM)
		select {
		case <-g.exited:
		case <-time.After(graceTime):
			g.kill()
		}
		g.start()
		if waitOr(rollGap, stop) {
			return
		}
	}
}

// followJob reads the results of a job until all are listed or the time is over.
func followJob(w *world, gateways []*gateway, id string, l *listing, end time.Time, report func(string, ...any)) {
	for time.Now().Before(end) {
		from := len(l.results)
		if from > 0 && rand.IntN(4) == 0 {
			from = rand.IntN(from) // occasionally from an earlier position
		}
		l.read(w, gateways[rand.IntN(len(gateways))], id, from, report)
		if l.total > 0 && len(l.results) == l.total {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.log("client: %s: %d of %d items are listed at the end", id, len(l.results), l.total)
}

// read reads one page and compares it with what was read before.
func (l *listing) read(w *world, g *gateway, id string, from int, report func(string, ...any)) {
	status, data, err := call(g, http.MethodGet, fmt.Sprintf("/magnoliausher/lots/%s?after=%d", id, from), map[string]string{"Wait-Ms": "500"}, nil)
	page := decodePage(data)
	if err != nil || status != http.StatusOK || page == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total = page.Total
	for n, r := range page.Results {
		position, result := from+n, fmt.Sprintf("%s %s %d bytes %.40s", r.ID, r.State, len(r.Output), r.Output)
		w.log("client: %s at %s: position %d holds %s (%s)", id, g.name, position, r.ID, r.State)
		if position < len(l.results) && l.results[position] != result {
			report("%s: position %d held %q and holds %q now", id, position, l.results[position], result)
		}
		if old, known := l.position[r.ID]; known && old != position {
			report("%s: item %s stands at positions %d and %d", id, r.ID, old, position)
		}
		l.position[r.ID] = position
		if position == len(l.results) {
			l.results = append(l.results, result)
		}
	}
}
