package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

const (
	slowMemoryMB    = 144 // of the smallest machines of the site
	slowMaxFDs      = 3075
	slowItems       = 200 // of a job, the most that the protocol allows
	slowEvents      = 208
	slowEventBytes  = 75
	slowReaderCount = 200
	slowReadFor     = 20 * time.Second
	slowRate        = 8 << 10 // bytes a second
	slowGateways    = 2
	slowLimit       = 80 * time.Second
)

// slowReaders lets clients of two gateways read the results of one batch job, either as fast as
// they come or slowly, and checks that the gateways stay within the memory of their machines.
func slowReaders(w *world) (bool, error) {
	const host, path = "ficu95.example", "/pule252/"
	w.putConfig(1, []object{{"name": "notes", "host": host, "path-prefix": path, "kind": "batch", "service": "llm", "max-attempts": 3,
		"timeout-ms": 15000, "target-latency-ms": 600, "completion-target-ms": 18000, "retention-s": 60, "cap": 5300000, "priority": 2}})
	for i := range 4 {
		e := platformtest.NewEngine(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "llm", "suva-a")
		e.Slots, e.Events, e.Interval = 8, slowEvents, time.Millisecond
		e.TextPrefix = strings.Repeat("w", slowEventBytes-30)
		e.Register(w.store, "ready", e.Address())
	}
	var list []*gateway
	for i := range slowGateways {
		g, err := w.newGateway(gatewayOptions{name: fmt.Sprintf("front-suva-a-%d", i+1), zone: "suva-a", memoryMB: slowMemoryMB, maxFDs: slowMaxFDs}, nil)
		if err != nil {
			return false, err
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
	g := list[0]
	job := "7c41e09b52d6a3f8"
	status, _, _, err := send(http.MethodPost, g.front, path+"7c41e0", host, map[string]string{"Attempt-Id": job, "Content-Type": "application/json"},
		submission("e5b2907c14da", path+"3/", slowItems, 1500, 940), 4*time.Second)
	w.logf("job %s with %d items: status %d, %v", job, slowItems, status, err)
	if status != http.StatusAccepted {
		return false, fmt.Errorf("%w: the job was not accepted", errNotRun)
	}
	size := 0
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		_, body, _, err := send(http.MethodGet, g.front, "/magnoliausher/lots/"+job+"?after=0", host, nil, nil, 4*time.Second)
		var p page
		if err == nil && json.Unmarshal(body, &p) == nil && p.Total == slowItems && listed(w, g.front, host, job) {
			size = len(body)
			break
		}
		if time.Now().After(end) {
			return false, fmt.Errorf("%w: the job is not done", errNotRun)
		}
	}
	w.logf("the job is done; the first page of its results has %d bytes; the gateway uses %d MB", size, g.anonymousMB())
	var whole, cut atomic.Int64
	var group sync.WaitGroup
	ended := make(chan struct{})
	for _, g := range list {
		for n := range slowReaderCount {
			group.Go(func() {
				time.Sleep(time.Duration(n) * 5 * time.Millisecond)
				for {
					if w.readPage(g.front, host, job) {
						whole.Add(1)
						return
					}
					cut.Add(1)
					select {
					case <-ended:
						return
					case <-time.After(time.Second): // the client asks again
					}
				}
			})
		}
	}
	finished := make(chan struct{})
	go func() { group.Wait(); close(finished) }()
	broken, err := w.watchAll(list, slowLimit, finished)
	close(ended)
	w.logf("%d clients read the page at each gateway: %d got it whole; %d times it was cut off, refused or left", slowReaderCount, whole.Load(), cut.Load())
	return broken, err
}

// readPage reads the results from the start on a new channel and reports whether they came
// whole. A slow client takes slowRate bytes a second and leaves after slowReadFor.
func (w *world) readPage(address, host, job string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	if w.trouble {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	_, _ = fmt.Fprintf(conn, "GET /magnoliausher/lots/%s?after=0 HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", job, host)
	var data []byte
	buffer := make([]byte, 4<<10)
	for end := time.Now().Add(slowReadFor); time.Now().Before(end); {
		_ = conn.SetReadDeadline(end)
		n, err := conn.Read(buffer)
		data = append(data, buffer[:n]...)
		if err != nil {
			break
		}
		if w.trouble {
			time.Sleep(time.Duration(n) * time.Second / slowRate)
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	body, err := io.ReadAll(response.Body)
	var p page
	return err == nil && json.Unmarshal(body, &p) == nil && p.Total == slowItems && len(p.Results) > 0
}

// listed reports whether all results of the job are listed.
func listed(w *world, address, host, job string) bool {
	_, body, _, err := send(http.MethodGet, address, fmt.Sprintf("/magnoliausher/lots/%s?after=%d", job, slowItems-1), host, nil, nil, 4*time.Second)
	var p page
	return err == nil && json.Unmarshal(body, &p) == nil && len(p.Results) == 1
}
