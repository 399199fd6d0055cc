package soak

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
	"github.com/magnoliausher/magnoliausher/standin/network"
)

// outOfStepSeed selects the addresses and the versions of the engines: v1 to v3.
const outOfStepSeed = 1399

// read requests a stream, or what follows the events before, and returns the events of the
// answer.
func (g *gateway) read(id, resumes string, after int) (events []textEvent, status int) {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.listen+"/resume/x", http.NoBody)
	if err != nil {
		return nil, 0
	}
	platformtest.PrepareRequest(request, id, "h", 3000)
	if after > 0 {
		platformtest.SetResumption(request, resumes, after)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, 0
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body) // the answer may break off
	if response.StatusCode == http.StatusOK {
		events, _ = parseEvents(string(body))
	}
	return events, response.StatusCode
}

// Guards against streams that begin at an engine which came back under its id with another
// version, before the list says so, break there, and are taken up at a gateway that is out
// of step: its list stands still, and it believes what the first gateway took from its own.
func TestGatewayOutOfStepJoinsNoVersions(t *testing.T) {
	for name, outOfStep := range map[string]func(g *gateway) (inStep func()){
		"cut off from the store": func(g *gateway) func() {
			g.store.SetFaults(network.Faults{Refuse: true, DropToTarget: true, DropFromTarget: true})
			g.store.Reset()
			return func() {}
		},
		"standing still": func(g *gateway) func() {
			g.signal(syscall.SIGSTOP)
			return func() { g.signal(syscall.SIGCONT) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, outOfStepSeed, true)
			first, second := d.gateways[0], d.gateways[1]
			time.Sleep(time.Second) // the versions are registered
			e := d.engines[0]
			id, before, _ := e.Identity()
			e.Store = platformtest.NewStore() // its entry is late
			t.Cleanup(e.Store.Close)
			e.Replace(id, "v2")
			d.await("the engine serves again", recoveryTime, func() bool { _, v, _ := e.Identity(); return v != before })
			time.Sleep(100 * time.Millisecond)
			inStep := outOfStep(second)
			var mu sync.Mutex
			joined, takenUp, continued, whole := 0, 0, 0, 0
			var streams sync.WaitGroup
			broken := make(chan struct{})
			for n := range 60 {
				streams.Go(func() {
					id := fmt.Sprint("resume-o", n)
					events, _ := first.read(id, "", 0)
					<-broken
					if len(events) > 0 && len(events) < versionEvents {
						rest, status := second.read(id+"-2", id, len(events))
						mu.Lock()
						takenUp++
						if status == http.StatusOK {
							continued++
						}
						mu.Unlock()
						events = append(events, rest...)
					}
					mu.Lock()
					defer mu.Unlock()
					if len(events) == versionEvents {
						whole++
					}
					for _, e := range events {
						if e.software != events[0].software {
							joined++
							t.Errorf("%s: events of %s and %s", id, events[0].software, e.software)
							break
						}
					}
				})
				time.Sleep(8 * time.Millisecond)
			}
			e.Register(d.store, "ready", d.engineAddress(0))
			time.Sleep(150 * time.Millisecond)
			e.Crash()
			time.Sleep(50 * time.Millisecond)
			inStep()
			close(broken)
			streams.Wait()
			t.Logf("%d streams joined, %d whole, %d taken up, %d of them went on; the engine ran %d", joined, whole, takenUp, continued, engineRuns(e))
			if whole == 0 {
				t.Error("no stream is whole")
			}
		})
	}
}

func engineRuns(e *platformtest.Engine) int {
	runs, _ := e.RunStats()
	return runs
}
