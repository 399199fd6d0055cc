package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	deadlyEngines  = 6
	deadlyLength   = 45 * time.Second
	deadlyInterval = time.Second
	deadlyDown     = 2 * time.Second
	deadlyBody     = "the request that crashes engines"
	answerLength   = 800
	beginLength    = 200 // of the answer, written before the crash
	contactTime    = 3 * time.Second
	allowedRetries = 3
)

// deadlyRun is one run of the deadly request at an engine.
type deadlyRun struct {
	at time.Time
	id string
}

// deadly: one idempotent request crashes each engine that begins to run it, after the engine has
// written the header and the beginning of its answer. It comes again once a second.
func deadly(w *world) []string {
	const service = "portal"
	beforeHeader := os.Getenv("BEFORE_HEADER") == "1" // for comparison: crashes before it writes a byte
	w.configure(map[string]any{"name": "r-order-status", "host": routeHost, "path-prefix": "/order-status/", "kind": "idempotent", "timeout-ms": 1500,
		"target-latency-ms": 300, "priority": 2, "service": service, "max-attempts": 2})
	var mu sync.Mutex
	var runs []deadlyRun
	var crashes []time.Time
	answer := func(e *engine, conn net.Conn, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		header := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", id, id, answerLength)
		body := strings.Repeat("x", answerLength)
		if w.trouble && r.Header.Get("Deadly") != "" {
			mu.Lock()
			runs = append(runs, deadlyRun{time.Now(), id})
			mu.Unlock()
			if !beforeHeader {
				_, _ = io.WriteString(conn, header+body[:beginLength])
			}
			time.Sleep(20 * time.Millisecond)
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			e.crash(deadlyDown)
			return
		}
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(conn, header+body)
	}
	for n := range deadlyEngines {
		w.startEngine(&engine{id: fmt.Sprintf("i-%d", n), service: service, slots: 6, answer: answer})
	}
	gateways := w.startGateways(3)
	var clients sync.WaitGroup
	for c := range 3 {
		clients.Go(func() {
			for n := 0; time.Since(w.started) < deadlyLength; n++ {
				orderStatus(w, gateways[c], fmt.Sprintf("%02x%014x", c, n), fmt.Sprintf("order %d of client %d", n, c), false)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Since(w.started) < deadlyLength; n++ {
		orderStatus(w, gateways[n%len(gateways)], fmt.Sprintf("de%014x", n), deadlyBody, true)
		time.Sleep(deadlyInterval)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.log("the deadly request ran %d times and crashed engines %d times", len(runs), len(crashes))
	if len(crashes) < 3 {
		return nil
	}
	late := make(map[string]bool) // retries, by Attempt-Id
	for _, r := range runs {
		if r.at.Sub(crashes[2]) > contactTime {
			late[r.id] = true
		}
	}
	w.log("retries of it that reached engines later than %v after the third crash: %d", contactTime, len(late))
	if len(late) > allowedRetries {
		return []string{fmt.Sprintf("a request that had crashed three engines reached engines in %d retries later than %v after the third crash", len(late), contactTime)}
	}
	return nil
}

// orderStatus sends one request of a client. The header Deadly tells the stand-in of the engine
// only, which the gateways pass on like any other.
func orderStatus(w *world, g *gateway, id, body string, isDeadly bool) {
	header := map[string]string{"Attempt-Id": id, "Deadline-Ms": "1500"}
	if isDeadly {
		header["Deadly"] = "1"
	}
	status, data, err := call(g, http.MethodPost, "/order-status/2f", header, []byte(body))
	w.log("client: %s %q at %s: status %d, %d bytes, %v", id, body, g.name, status, len(data), err)
}
