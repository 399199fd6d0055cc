package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often an engine writes its entry in the store.
const heartbeat = 1200 * time.Millisecond

// engine is a stand-in of a model engine. It answers one request on a channel.
type engine struct {
	w       *world
	id      string
	service string
	slots   int
	events  int           // of a stream
	pause   time.Duration // before each event
	// fail makes the engine answer a request with its own 500; nil for never.
	fail func(r *http.Request) bool
	// answer writes the answer to a request that runs, in place of the usual stream.
	answer func(e *engine, conn net.Conn, r *http.Request)

	address string
	born    int64
	seq     int

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	gone     chan struct{}   // closed when the engine leaves for good
	runs     map[string]int  // by Attempt-Id
	finished map[string]bool // by Attempt-Id
}

// startEngine starts an engine and registers it.
func (w *world) startEngine(e *engine) *engine {
	e.w, e.born, e.gone = w, time.Now().UnixMilli(), make(chan struct{})
	e.conns, e.runs, e.finished = make(map[net.Conn]bool), make(map[string]int), make(map[string]bool)
	e.listener = listen()
	e.address = e.listener.Addr().String()
	go e.accept(e.listener)
	go e.register()
	w.engines = append(w.engines, e)
	return e
}

func (e *engine) register() {
	for {
		e.mu.Lock()
		up := e.listener != nil
		e.seq++
		entry := map[string]any{"service": e.service, "address": e.address, "zone": "zone-a", "version": "v1", "slots": e.slots, "state": "ready",
			"cold-left-ms": 0, "stage": "dual", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq": e.seq, "born": e.born}
		e.mu.Unlock()
		select {
		case <-e.gone:
			return
		default:
		}
		if up {
			e.w.store.put("servers", e.id, entry)
		}
		select {
		case <-e.gone:
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash breaks all channels and accepts none until the engine is back.
func (e *engine) crash(down time.Duration) {
	e.mu.Lock()
	_ = e.listener.Close()
	e.listener = nil
	n := len(e.conns)
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.w.log("%s: crashed with %d channels open", e.id, n)
	if down <= 0 {
		return
	}
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", e.address)
		if err != nil {
			cannotRun("restarting an engine: %v", err)
		}
		e.mu.Lock()
		e.listener, e.born, e.seq = l, time.Now().UnixMilli(), 0
		e.mu.Unlock()
		e.w.log("%s: back", e.id)
		e.accept(l)
	})
}

// crashForGood ends an engine; its entry is removed after three intervals of silence.
func (e *engine) crashForGood() {
	close(e.gone)
	e.crash(0)
	time.AfterFunc(3*heartbeat, func() {
		e.w.store.remove("servers", e.id)
		e.w.log("store: entry of %s removed", e.id)
	})
}

func (e *engine) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go func() {
			e.serve(conn)
			_ = conn.Close()
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
		}()
	}
}

func (e *engine) serve(conn net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	if target := r.Header.Get("Target-Instance"); target != "" && target != e.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", e.id)
		return
	}
	e.mu.Lock()
	full := e.running >= e.slots
	if !full {
		e.running++
		e.runs[id]++
	}
	e.mu.Unlock()
	if full {
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.w.log("%s: runs %s after event %d", e.id, id, after)
	if e.answer != nil {
		e.answer(e, conn, r)
		return
	}
	if e.fail != nil && e.fail(r) {
		body := "internal error\n"
		fmt.Fprintf(conn, "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
			id, id, len(body), body)
		e.w.log("%s: answered %s with its own 500", e.id, id)
		return
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n", id, id); err != nil {
		return
	}
	for n := after + 1; n <= e.events; n++ {
		time.Sleep(e.pause)
		if err := writeChunk(conn, eventText(id, n)); err != nil {
			return
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	e.mu.Lock()
	e.finished[id] = true
	e.mu.Unlock()
	e.w.log("%s: finished %s", e.id, id)
}

func writeChunk(conn net.Conn, text string) error {
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	return err
}

// eventText returns event n of the answer to a request.
func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// wholeStream returns the whole body of a stream.
func wholeStream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(eventText(id, n))
	}
	return b.String()
}

func (e *engine) totalRuns() int {
	n := 0
	for _, runs := range e.runsByID() {
		n += runs
	}
	return n
}

func (e *engine) runsByID() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runs)
}

func (e *engine) finishedIDs() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.finished)
}

// watchRunning returns the most requests that were in progress at one moment of the time.
func (e *engine) watchRunning(d time.Duration) int {
	most := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		e.mu.Lock()
		most = max(most, e.running)
		e.mu.Unlock()
	}
	return most
}
