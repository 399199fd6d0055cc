package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	lastSlotEvents = 20
	lastSlotPause  = 20 * time.Millisecond
	lastSlotItems  = 10
	lastSlotJobs   = 3
	// finishTime is finish-s of the rule; calmTime is the part of it that must be calm.
	finishTime = 18 * time.Second
	calmTime   = 5 * time.Second
)

// lastSlot: a batch service has two engines that run one request at once. One of them is lost for
// good; the other one stays idle while accepted items wait.
func lastSlot(w *world) []string {
	const service = "notes"
	w.configure(map[string]any{"name": "r-notes", "host": routeHost, "path-prefix": "/notes/", "kind": "batch", "timeout-ms": 15000, "target-latency-ms": 400,
		"completion-target-ms": 18000, "retention-s": 60, "priority": 2, "service": service, "max-attempts": 3, "sticky": true, "resumable": true,
		"gap-target-ms": 250, "cap": 1400000})
	lost := w.startEngine(&engine{id: "i-a", service: service, slots: 1, events: lastSlotEvents, pause: lastSlotPause})
	left := w.startEngine(&engine{id: "i-b", service: service, slots: 1, events: lastSlotEvents, pause: lastSlotPause})
	gateways := w.startGateways(2)
	submit := func(id string) {
		for attempt := 0; attempt < 20; attempt++ {
			status := submitJob(w, gateways[attempt%len(gateways)], "/notes/", id, lastSlotItems)
			if status == http.StatusAccepted {
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
		cannotRun("job %s was not accepted", id)
	}
	submit("job-before")
	time.Sleep(2 * time.Second)
	if w.trouble {
		lost.crashForGood()
	}
	time.Sleep(5 * time.Second)
	for n := range lastSlotJobs - 1 {
		submit(fmt.Sprintf("job-after-%d", n))
	}
	w.log("traffic ended; the jobs have %v more", finishTime)
	time.Sleep(finishTime - calmTime)
	before := left.totalRuns()
	busy := left.watchRunning(calmTime) > 0
	ran := left.totalRuns() - before
	var broken []string
	for _, id := range []string{"job-before", "job-after-0", "job-after-1"} {
		total, listed := readJob(w, gateways[0], id)
		if listed < total && !busy && ran == 0 {
			broken = append(broken, fmt.Sprintf("%s: %d of %d items are listed, and the engine that is left was idle for the last %v", id, listed, total, calmTime))
		} else if listed < total {
			w.log("%s: %d of %d items are listed; engines were at work, so this is no break", id, listed, total)
		}
	}
	return broken
}
