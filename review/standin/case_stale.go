package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	staleGateways = 3
	staleEngines  = 4
	staleItems    = 8
	staleRounds   = 7
	staleJobs     = 8 // of a round
	// freezeTime is how long a gateway stands still; stopAfter is when in it the stop is ordered.
	freezeTime = 3500 * time.Millisecond
	stopAfter  = 2500 * time.Millisecond
	settled    = 4 * time.Second // after a round, for the gateway to be back
)

// stale: a gateway that owns jobs stands still, so that others claim its jobs, and is stopped
// meanwhile: when it wakes, it shuts down in order.
func stale(w *world) []string {
	const service = "reife-llm"
	w.configure(map[string]any{"name": "r-night-report", "host": routeHost, "path-prefix": "/night-report/", "kind": "batch", "timeout-ms": 15000,
		"target-latency-ms": 500, "completion-target-ms": 18000, "retention-s": 600, "priority": 2, "service": service, "max-attempts": 3, "sticky": true,
		"resumable": true, "gap-target-ms": 300, "cap": 1700000})
	for n := range staleEngines {
		w.startEngine(&engine{id: fmt.Sprintf("i-%d", n), service: service, slots: 8, answer: answerItem})
	}
	gateways := w.startGateways(staleGateways)
	var broken []string
	var mu sync.Mutex
	report := func(format string, arguments ...any) {
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, fmt.Sprintf(format, arguments...))
	}
	jobs := make(map[string]*listing)
	var clients sync.WaitGroup
	for round := range staleRounds {
		owner := gateways[round%len(gateways)]
		others := []*gateway{gateways[(round+1)%len(gateways)], gateways[(round+2)%len(gateways)]}
		for n := range staleJobs {
			id := fmt.Sprintf("job-%d-%d", round, n)
			if status := submitJob(w, owner, "/night-report/", id, staleItems); status != http.StatusAccepted {
				cannotRun("job %s was answered %d", id, status)
			}
			l := &listing{position: make(map[string]int)}
			jobs[id] = l
			clients.Go(func() { followJob(w, others, id, l, time.Now().Add(finishTime), report) })
		}
		time.Sleep(time.Second)
		if w.trouble {
			w.log("%s: stands still", owner.name)
			owner.signal(syscall.SIGSTOP)
			time.Sleep(stopAfter)
			w.log("%s: SIGTERM", owner.name)
			owner.signal(syscall.SIGTERM)
			time.Sleep(freezeTime - stopAfter)
			w.log("%s: wakes", owner.name)
			owner.signal(syscall.SIGCONT)
			select {
			case <-owner.exited:
			case <-time.After(graceTime - freezeTime + stopAfter):
				owner.kill()
			}
			owner.start()
			owner.awaitReady()
		}
		time.Sleep(settled)
	}
	clients.Wait()
	for id, l := range jobs {
		l.read(w, gateways[0], id, 0, report)
	}
	return broken
}

// answerItem writes the answer to an item as an engine does.
func answerItem(e *engine, conn net.Conn, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n", id, id); err != nil {
		return
	}
	for n := after + 1; n <= itemEvents(id); n++ {
		time.Sleep(handoverPause)
		if err := writeChunk(conn, eventText(id, n)); err != nil {
			return
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}
