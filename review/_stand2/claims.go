package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

const (
	claimGateways  = 22
	claimLeft      = 2
	claimLimit     = 50 * time.Second
	claimJobs      = 6 // for each gateway
	claimItems     = 200
	claimTokens    = 200   // of an item: all jobs together stay below the 5,300,000 tokens that may wait
	claimBodyBytes = 15000 // of an item: a job of 200 has 4.1 MB of the 4,194,304 bytes allowed
)

// claims hands in large batch jobs at all gateways and lets all but two lose power. It checks that
// those that are left, which have to go on with all jobs, stay within the memory of their machines.
func claims(w *world) (bool, error) {
	const host, path = "ficu95.example", "/pule252/"
	w.putConfig(1, []object{{"name": "notes", "host": host, "path-prefix": path, "kind": "batch", "service": "llm", "max-attempts": 3,
		"timeout-ms": 15000, "target-latency-ms": 600, "completion-target-ms": 18000, "retention-s": 60, "cap": 5300000, "priority": 2}})
	for i := range 4 {
		e := platformtest.NewEngine(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "llm", "suva-a")
		e.Slots, e.Events, e.Interval = 8, slowEvents, 20*time.Millisecond
		e.Register(w.store, "ready", e.Address())
	}
	var list []*gateway
	var seeds []string
	for i := range claimGateways {
		g, err := w.newGateway(gatewayOptions{name: fmt.Sprintf("front-suva-a-%d", i+1), zone: "suva-a", memoryMB: slowMemoryMB, maxFDs: slowMaxFDs}, seeds)
		if err != nil {
			return false, err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, g.control)
		}
		if err := w.start(g); err != nil {
			return false, err
		}
		list = append(list, g)
	}
	for _, g := range list {
		if err := g.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	accepted := 0
	for j := range claimJobs {
		for i, g := range list {
			job := fmt.Sprintf("7c41e09b52%02x%04x", i, j)
			status, _, _, err := send(http.MethodPost, g.front, path+"7c41e0", host, map[string]string{"Attempt-Id": job, "Content-Type": "application/json"},
				submission(fmt.Sprintf("e5b2%04x%04x", i, j), path+"3/", claimItems, claimBodyBytes, claimTokens), 5*time.Second)
			w.logf("job %s at %s: status %d, %v", job, g.name, status, err)
			if status == 202 {
				accepted++
			}
		}
	}
	for _, g := range list {
		w.logf("%s uses %d MB", g.name, g.anonymousMB())
	}
	if accepted < claimGateways {
		return false, fmt.Errorf("%w: too few jobs were accepted", errNotRun)
	}
	left := list[:claimLeft]
	if w.trouble {
		for _, g := range list[claimLeft:] {
			g.signal(syscall.SIGKILL)
		}
	}
	w.logf("%d jobs accepted", accepted)
	return w.watchAll(left, claimLimit, nil)
}
