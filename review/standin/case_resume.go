package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	resumeEvents  = 24
	resumePause   = 25 * time.Millisecond
	resumeClients = 72
	resumeEngines = 18
	// The doses of the disruptions; claim.txt quotes their limits.
	greyEngines    = 2
	greyPercent    = 40
	greyTime       = 5 * time.Second
	crashedEngines = 2
	crashTime      = 1500 * time.Millisecond
	resumeRounds   = 10
)

// resume: engines crash in the middle of streams that may be resumed, while other engines
// answer part of their requests with their own 500.
func resume(w *world) []string {
	const service = "reife-llm"
	w.configure(map[string]any{"name": "r-stage-check", "host": routeHost, "path-prefix": "/stage-check/", "kind": "stream", "timeout-ms": 5000,
		"target-latency-ms": 300, "priority": 0, "service": service, "max-attempts": 2, "sticky": true, "resumable": true, "gap-target-ms": 300})
	var mu sync.Mutex
	grey := make(map[string]bool)
	requests := 0
	for n := range resumeEngines {
		id := fmt.Sprintf("i-%02d", n)
		fail := func(*http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			if !grey[id] {
				return false
			}
			requests++
			return requests*greyPercent/100 > (requests-1)*greyPercent/100
		}
		w.startEngine(&engine{id: id, service: service, slots: 8, events: resumeEvents, pause: resumePause, fail: fail})
	}
	gateways := w.startGateways(3)
	var broken []string
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for c := range resumeClients {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%02x%014x", c, n)
				if b := stageCheck(w, gateways[c%len(gateways)], id); b != "" {
					mu.Lock()
					broken = append(broken, b)
					mu.Unlock()
				}
			}
		})
	}
	for round := range resumeRounds {
		order := rand.New(rand.NewPCG(uint64(round), 26)).Perm(resumeEngines)
		if w.trouble {
			mu.Lock()
			for _, n := range order[:greyEngines] {
				grey[w.engines[n].id] = true
				w.log("%s: fails %d in 100 of its requests", w.engines[n].id, greyPercent)
			}
			mu.Unlock()
		}
		for k := range 2 {
			time.Sleep(greyTime / 2)
			for _, n := range order[greyEngines+k*crashedEngines:][:crashedEngines] {
				if w.trouble {
					w.engines[n].crash(crashTime)
				}
			}
		}
		mu.Lock()
		clear(grey)
		mu.Unlock()
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	return broken
}

// stageCheck sends one request as a client and returns what breaks the rule.
func stageCheck(w *world, g *gateway, id string) string {
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		w.log("client: %s: %v", id, err)
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	request, err := http.NewRequest(http.MethodPost, "http://"+routeHost+"/stage-check/2f", strings.NewReader("prompt "+id))
	if err != nil {
		cannotRun("%v", err)
	}
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Usage", "450,48")
	request.Header.Set("Prompt-Prefix", "5c1e07a2:200,"+id+":250")
	request.Header.Set("Deadline-Ms", "5000")
	w.log("client: %s sent to %s", id, g.name)
	response, err := (&http.Transport{Dial: func(string, string) (net.Conn, error) { return conn, nil }, DisableKeepAlives: true, DisableCompression: true}).RoundTrip(request)
	if err != nil {
		w.log("client: %s ended without an answer: %v", id, err)
		return ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case response.StatusCode != http.StatusOK:
		w.log("client: %s answered %d", id, response.StatusCode)
	case err != nil:
		w.log("client: %s answered 200, broken off after %d events: %v", id, strings.Count(string(body), "\n\n"), err)
	case string(body) != wholeStream(id, resumeEvents):
		w.log("client: %s answered 200, complete by its chunks, with the wrong body %q", id, body)
		return fmt.Sprintf("%s got a 200 that ended as complete after %d of %d events; its last bytes are %q", id, strings.Count(string(body), "\n\n"), resumeEvents, tail(string(body)))
	default:
		w.log("client: %s answered 200, whole", id)
	}
	return ""
}

func tail(s string) string { return s[max(len(s)-40, 0):] }
