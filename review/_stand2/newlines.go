package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// textEngine is a sound engine that answers each request with the same text, one event for
// each piece. A piece with line feeds takes several data lines, as an event stream has them.
type textEngine struct {
	id     string
	pieces []string
	server *httptest.Server

	mu   sync.Mutex
	runs []string // ids of requests, with the event that they go on after
}

func newTextEngine(w *world, id, service, zone string, pieces []string) *textEngine {
	e := &textEngine{id: id, pieces: pieces}
	e.server = httptest.NewServer(e)
	value, err := json.Marshal(object{"service": service, "address": e.server.Listener.Addr().String(), "zone": zone, "version": "v1", "slots": 8,
		"state": "ready", "cold-left-ms": 0, "seq": 1, "born": time.Now().UnixMilli()})
	if err != nil {
		panic(err)
	}
	w.store.Put("servers", "", id, value)
	return e
}

// ServeHTTP implements http.Handler.
func (e *textEngine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if target := r.Header.Get("Target-Instance"); target != "" && target != e.id {
		rw.Header().Set("Attempt-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/magnoliausher/report" {
		_, _ = io.WriteString(rw, `{"stage":"dual"}`)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	e.runs = append(e.runs, fmt.Sprintf("%s after %d", id, after))
	e.mu.Unlock()
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Response-Seal", "seal-"+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= len(e.pieces); n++ {
		_, _ = fmt.Fprintf(rw, "id: %d\n", n)
		for _, line := range strings.Split(e.pieces[n-1], "\n") {
			_, _ = fmt.Fprintf(rw, "data: %s\n", line)
		}
		_, _ = io.WriteString(rw, "\n")
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// eventData returns the data of the events of a stream, as the standard for event streams
// defines it: the values of the data lines of an event, joined by line feeds.
func eventData(stream string) []string {
	var list []string
	var lines []string
	for _, line := range strings.Split(stream, "\n") {
		if line == "" && lines != nil {
			list = append(list, strings.Join(lines, "\n"))
			lines = nil
			continue
		}
		if value, found := strings.CutPrefix(line, "data:"); found {
			lines = append(lines, strings.TrimPrefix(value, " "))
		}
	}
	return list
}

// newlines lets an engine write a text with blank lines, as texts with paragraphs have, and
// compares the result of a batch item with it. The same request is sent as a stream, too, to
// show what the engine sends.
func newlines(w *world) (bool, error) {
	const host, path, streamPath = "ficu95.example", "/pule252/", "/lohu930/"
	w.putConfig(1, []object{
		{"name": "notes", "host": host, "path-prefix": path, "kind": "batch", "service": "llm", "max-attempts": 3,
			"timeout-ms": 15000, "target-latency-ms": 500, "completion-target-ms": 18000, "retention-s": 60, "cap": 1700000, "priority": 2},
		{"name": "advice", "host": host, "path-prefix": streamPath, "kind": "stream", "service": "llm", "max-attempts": 2, "resumable": true,
			"timeout-ms": 5000, "target-latency-ms": 300, "gap-target-ms": 300, "priority": 0}})
	pieces := []string{"Room 7:", " gas", "\n\nRoom 8:", " wait", "\n", "- one hour", "\n- then look", "."}
	if !w.trouble {
		pieces = []string{"Room 7:", " gas", " Room 8:", " wait", ":", "- one hour", " - then look", "."}
	}
	e := newTextEngine(w, "i-7f3a91c2", "llm", "linz", pieces)
	g, err := w.newGateway(gatewayOptions{name: "front-linz-1", zone: "linz", memoryMB: 314, maxFDs: 8200}, nil)
	if err != nil {
		return false, err
	}
	if err := w.start(g); err != nil {
		return false, err
	}
	if err := g.awaitReady(); err != nil {
		return false, err
	}
	header := map[string]string{"Attempt-Id": "9c41d07be2a35f68", "Model": "m", "Token-Usage": "450,80", "Prompt-Prefix": "5c1e07a2:200,e4402b7d:250", "Deadline-Ms": "5000"}
	status, stream, _, err := send(http.MethodPost, g.front, streamPath+"2f", host, header, []byte("{}"), 6*time.Second)
	w.logf("stream through the gateway: status %d, %v; data of its events: %q", status, err, eventData(string(stream)))
	if got := strings.Join(eventData(string(stream)), "\n"); err != nil || got != strings.Join(pieces, "\n") {
		return false, fmt.Errorf("%w: the stream does not show what the engine sends", errNotRun)
	}
	const job = "7c41e09b52d6a3f8"
	status, _, _, err = send(http.MethodPost, g.front, path+"7c41e0", host, map[string]string{"Attempt-Id": job, "Content-Type": "application/json"},
		submission("e5b2907c14da", path+"3/", 3, 300, 940), 4*time.Second)
	w.logf("batch job %s: status %d, %v", job, status, err)
	if status != http.StatusAccepted {
		return false, fmt.Errorf("%w: the job was not accepted", errNotRun)
	}
	var p page
	for end := time.Now().Add(20 * time.Second); len(p.Results) < 3; time.Sleep(500 * time.Millisecond) {
		_, body, _, err := send(http.MethodGet, g.front, "/magnoliausher/lots/"+job+"?after=0", host, nil, nil, 4*time.Second)
		if err == nil {
			p = page{}
			_ = json.Unmarshal(body, &p)
		}
		if time.Now().After(end) {
			return false, fmt.Errorf("%w: the job is not done", errNotRun)
		}
	}
	e.mu.Lock()
	w.logf("runs at the engine: %q", e.runs)
	e.mu.Unlock()
	want, wrong := strings.Join(pieces, "\n"), 0
	w.logf("whole output of each item: %q", want)
	for _, r := range p.Results {
		w.logf("item %s is %s: %q", r.ID, r.State, r.Output)
		if r.State != "done" || r.Output != want {
			wrong++
		}
	}
	w.logf("%d of %d results are not the whole output", wrong, len(p.Results))
	return wrong > 0, nil
}
