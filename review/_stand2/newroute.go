package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// storeProxy is the way of one gateway to the store, which may turn it away with 503.
type storeProxy struct {
	server *httptest.Server
	refuse atomic.Bool
}

func newStoreProxy(store string) *storeProxy {
	p := &storeProxy{}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	forward.ErrorLog = log.New(io.Discard, "", 0) // calls end when a gateway does
	p.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if p.refuse.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		forward.ServeHTTP(rw, r)
	}))
	return p
}

func (p *storeProxy) address() string { return strings.TrimPrefix(p.server.URL, "http://") }

const newRouteItems = 10

// newRoute adds a batch route, hands in a job on it at a gateway that has the manifest, and
// stops that gateway in order, while the store turns the other gateway away.
func newRoute(w *world) (bool, error) {
	const host, oldPath, path = "ficu95.example", "/pule252/", "/wera118/"
	old := object{"name": "notes", "host": host, "path-prefix": oldPath, "kind": "batch", "service": "llm", "max-attempts": 3,
		"timeout-ms": 15000, "target-latency-ms": 500, "completion-target-ms": 18000, "retention-s": 60, "cap": 1700000, "priority": 2}
	added := object{"name": "reports", "host": host, "path-prefix": path, "kind": "batch", "service": "llm", "max-attempts": 3,
		"timeout-ms": 15000, "target-latency-ms": 500, "completion-target-ms": 18000, "retention-s": 60, "cap": 1700000, "priority": 2}
	w.putConfig(3, []object{old})
	e := newTextEngine(w, "i-7f3a91c2", "llm", "linz", []string{"one", "two", "three", "four"})
	proxy := newStoreProxy(w.store.Address())
	var gateways []*gateway
	for i := range 2 {
		g, err := w.newGateway(gatewayOptions{name: fmt.Sprintf("front-linz-%d", i+1), zone: "linz", memoryMB: 314, maxFDs: 8200}, nil)
		if err != nil {
			return false, err
		}
		if i == 1 {
			if err := w.replaceSetting(g, w.store.Address(), proxy.address()); err != nil {
				return false, err
			}
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
	first, second := gateways[0], gateways[1]
	time.Sleep(3 * time.Second)
	if w.trouble {
		proxy.refuse.Store(true)
		w.logf("the store turns %s away with 503", second.name)
	}
	time.Sleep(2 * time.Second)
	w.putConfig(7, []object{old, added})
	w.logf("manifest 7 is confirmed; it adds the route of %s", path)
	const job = "7c41e09b52d6a3f8"
	body := submission("e5b2907c14da", path+"3/", newRouteItems, 1500, 940)
	status := 0
	for end := time.Now().Add(4 * time.Second); status != http.StatusAccepted && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		status, _, _, _ = send(http.MethodPost, first.front, path+"7c41e0", host, map[string]string{"Attempt-Id": job, "Content-Type": "application/json"}, body, 4*time.Second)
	}
	w.logf("job %s at %s: status %d", job, first.name, status)
	if status != http.StatusAccepted {
		return false, fmt.Errorf("%w: the job was not accepted", errNotRun)
	}
	first.signal(syscall.SIGTERM)
	w.logf("SIGTERM to %s", first.name)
	select {
	case <-first.exited:
	case <-time.After(8 * time.Second):
		first.signal(syscall.SIGKILL)
		<-first.exited
	}
	if err := w.start(first); err != nil {
		return false, err
	}
	proxy.refuse.Store(false)
	w.logf("the store serves %s again", second.name)
	var p page
	for end := time.Now().Add(20 * time.Second); len(p.Results) < newRouteItems && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		_, body, _, err := send(http.MethodGet, second.front, "/magnoliausher/lots/"+job+"?after=0", host, nil, nil, 4*time.Second)
		if err == nil {
			p = page{}
			_ = json.Unmarshal(body, &p)
		}
	}
	e.mu.Lock()
	w.logf("runs at the engine: %q", e.runs)
	e.mu.Unlock()
	dead := 0
	for _, r := range p.Results {
		w.logf("item %s is %s: %q", r.ID, r.State, r.Output)
		if r.State == "dead_letter" {
			dead++
		}
	}
	w.logf("%d of %d items are dead_letter, %d listed; the route is there, no engine failed, and the job is some seconds old", dead, newRouteItems, len(p.Results))
	return dead > 0 || len(p.Results) < newRouteItems, nil
}
