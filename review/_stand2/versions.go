package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// versionEngine is a sound engine whose events name the version of its software. It keeps
// its id and its address when it starts again.
type versionEngine struct {
	w                 *world
	id, service, zone string
	address           string

	mu       sync.Mutex
	server   *httptest.Server
	software string
	born     int64
}

func newVersionEngine(w *world, id, service, zone, software string) *versionEngine {
	e := &versionEngine{w: w, id: id, service: service, zone: zone, software: software, born: time.Now().UnixMilli()}
	e.server = httptest.NewServer(e)
	e.address = e.server.Listener.Addr().String()
	return e
}

// register writes the entry of the engine, as it does about every heartbeat-ms.
func (e *versionEngine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":8,"state":"ready","cold-left-ms":0,"seq":1,"born":%d}`,
		e.service, e.address, e.zone, e.software, e.born)
	e.w.store.Put("servers", "", e.id, []byte(value))
	e.w.logf("engine %s: its entry names version %s, born %d", e.id, e.software, e.born)
}

// crash ends the process of the engine: its connections break and none are accepted.
func (e *versionEngine) crash() {
	e.mu.Lock()
	s := e.server
	e.mu.Unlock()
	_ = s.Listener.Close()
	s.CloseClientConnections()
	e.w.logf("engine %s crashes", e.id)
}

// startAgain starts the engine with a version of its software.
func (e *versionEngine) startAgain(software string) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := httptest.NewUnstartedServer(e)
	_ = s.Listener.Close()
	s.Listener = l
	e.software, e.born = software, time.Now().UnixMilli()
	s.Start()
	e.server = s
	e.w.logf("engine %s starts again with version %s, born %d", e.id, software, e.born)
	return nil
}

const (
	versionEvents  = 40
	versionEngines = 7 // one of them is .14; srv_crash takes .15
	versionStreams = 48
)

// ServeHTTP implements http.Handler.
func (e *versionEngine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	software, born := e.software, e.born
	e.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	if target := r.Header.Get("Target-Instance"); target != "" && target != e.id {
		rw.Header().Set("Attempt-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/magnoliausher/report" {
		_, _ = fmt.Fprintf(rw, `{"stage":"dual","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"num-waiting":0,"num-running":0,"kv-used":0,"kv-total":90000,"handles":0,"born":%d}`, born)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.w.logf("engine %s (%s) runs %s after event %d", e.id, software, id, after)
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Response-Seal", "seal-"+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= versionEvents; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", n, software, n); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-time.After(50 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

// versions lets an engine crash, start again with other software and crash once more while the
// store is down for 4 s, so that the entry of the engine names its earlier software. Clients send
// streams that may be resumed meanwhile.
func versions(w *world) (bool, error) {
	const host, path = "ficu95.example", "/lohu930/"
	w.putConfig(1, []object{{"name": "checks", "host": host, "path-prefix": path, "kind": "stream", "service": "llm", "max-attempts": 2, "resumable": true,
		"timeout-ms": 5000, "target-latency-ms": 300, "gap-target-ms": 300, "priority": 0}})
	var engines []*versionEngine
	for i := range versionEngines {
		e := newVersionEngine(w, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "llm", "linz", "v1")
		e.register()
		engines = append(engines, e)
	}
	var gateways []*gateway
	for i := range 2 {
		g, err := w.newGateway(gatewayOptions{name: fmt.Sprintf("front-linz-%d", i+1), zone: "linz", memoryMB: 314, maxFDs: 8200}, nil)
		if err != nil {
			return false, err
		}
		if err := w.start(g); err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	upgraded := engines[0]
	if w.trouble {
		w.store.SetUnresponsive(true)
		w.logf("the platform's store is down (silent)")
	}
	upgraded.crash()
	time.Sleep(time.Second)
	if err := upgraded.startAgain("v2"); err != nil {
		return false, err
	}
	if w.trouble {
		w.logf("engine %s cannot write its entry while the store is down", upgraded.id)
	} else {
		upgraded.register()
	}
	time.Sleep(time.Second)
	type answer struct {
		id, text string
		status   int
		err      error
	}
	answers := make(chan answer, versionStreams)
	for i := range versionStreams {
		go func() {
			id := fmt.Sprintf("9c41d07be2a3%04x", i)
			status, body, _, err := send(http.MethodPost, gateways[i%2].front, path+"2f", host, map[string]string{"Attempt-Id": id, "Model": "m",
				"Token-Usage": "450,80", "Prompt-Prefix": "5c1e07a2:200,e4402b7d:250", "Deadline-Ms": "5000"}, []byte("{}"), 6*time.Second)
			answers <- answer{id, string(body), status, err}
		}()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	upgraded.crash()
	time.Sleep(time.Second)
	if err := upgraded.startAgain("v2"); err != nil {
		return false, err
	}
	if w.trouble {
		w.store.SetUnresponsive(false)
		w.logf("the store is back")
	}
	upgraded.register()
	mixed := 0
	for range versionStreams {
		a := <-answers
		seen := map[string]bool{}
		var order []string
		for _, data := range eventData(a.text) {
			version, _, _ := strings.Cut(data, " ")
			if !seen[version] {
				seen[version] = true
				order = append(order, version)
			}
		}
		w.logf("stream %s: status %d, %d events, versions %v, %v", a.id, a.status, len(eventData(a.text)), order, a.err)
		if len(order) > 1 {
			mixed++
		}
	}
	w.logf("%d of %d streams hold events of two software versions", mixed, versionStreams)
	return mixed > 2, nil
}
