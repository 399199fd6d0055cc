package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	backlogEvents = 165
	backlogPause  = 20 * time.Millisecond
	// A burst: six times the usual jobs for three seconds, below the cap of the route.
	usualJobs      = 1 // a second
	burstFactor    = 6
	burstSeconds   = 3
	backlogItems   = 100 // of a job
	starvedJobs    = 12  // of one item
	earlierJob     = "report-first"
	beforeJobs     = 2 * time.Second
	earlierTimeout = 15 * time.Second
)

// backlog: two batch services. A burst of jobs comes for one of them at one gateway; small jobs
// for the other one, whose engine is idle, come at another gateway.
func backlog(w *world) []string {
	route := func(name, service string) map[string]any {
		return map[string]any{"name": "r-" + name, "host": routeHost, "path-prefix": "/" + name + "/", "kind": "batch", "timeout-ms": 15000, "target-latency-ms": 400,
			"completion-target-ms": 18000, "retention-s": 600, "priority": 2, "service": service, "max-attempts": 3, "sticky": true, "resumable": true,
			"gap-target-ms": 250, "cap": 1700000}
	}
	w.configure(route("notes", "notes-llm"), route("reports", "reports-llm"))
	loaded := w.startEngine(&engine{id: "i-notes", service: "notes-llm", slots: 8, events: backlogEvents, pause: backlogPause})
	idle := w.startEngine(&engine{id: "i-reports", service: "reports-llm", slots: 8, events: backlogEvents, pause: backlogPause})
	gateways := w.startGateways(2)
	if status := submitJob(w, gateways[0], "/reports/", earlierJob, 5); status != http.StatusAccepted {
		cannotRun("the first job was answered %d", status)
	}
	for deadline := time.Now().Add(earlierTimeout); ; time.Sleep(time.Second) {
		if total, listed := readJob(w, gateways[0], earlierJob); listed == total {
			break
		}
		if time.Now().After(deadline) {
			cannotRun("the first job was not done before the disruption")
		}
	}
	factor := 1
	if w.trouble {
		factor = burstFactor
	}
	waiting := 0
	for second := range burstSeconds {
		for n := range usualJobs * factor {
			if status := submitJob(w, gateways[1], "/notes/", fmt.Sprintf("notes-%d-%d", second, n), backlogItems); status == http.StatusAccepted {
				waiting += backlogItems
			}
		}
		time.Sleep(time.Second)
	}
	time.Sleep(beforeJobs)
	for n := range starvedJobs {
		if status := submitJob(w, gateways[0], "/reports/", starvedName(n), 1); status != http.StatusAccepted {
			cannotRun("a job was answered %d", status)
		}
	}
	w.log("traffic ended; the jobs have %v more", finishTime)
	time.Sleep(finishTime - calmTime)
	ran, finished := idle.runsByID(), len(loaded.finishedIDs())+len(idle.finishedIDs())
	most := idle.watchRunning(calmTime)
	waiting -= len(loaded.finishedIDs())
	finished = len(loaded.finishedIDs()) + len(idle.finishedIDs()) - finished
	w.log("in the last %v: at most %d requests at the engine of the small jobs, %d items finished at all engines; about %d wait", calmTime, most, finished, waiting)
	var broken []string
	for n := range starvedJobs {
		name := starvedName(n)
		total, listed := readJob(w, gateways[0], name)
		had := idle.runsByID()[itemID(name, 0)] > 0
		if listed < total && !had && ran[itemID(name, 0)] == 0 && most < idle.slots/2 && finished*10 < waiting {
			broken = append(broken, fmt.Sprintf("%s: its item has reached no engine in %v, although its engine had at most %d of %d slots in use in the last %v",
				name, finishTime, most, idle.slots, calmTime))
		}
	}
	return broken
}

func starvedName(n int) string { return fmt.Sprintf("report-%02d", n) }
