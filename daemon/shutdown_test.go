package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
	"github.com/magnoliausher/magnoliausher/settings"
)

// stopLoad sends requests to one gateway on new and on kept connections, and opens
// connections as the load balancer does: until two readiness probes in a row failed.
type stopLoad struct {
	gateway            *runningGateway
	routed             atomic.Bool // new connections still go to the gateway
	ended              atomic.Bool
	answered, rejected atomic.Int64
	crossed            atomic.Int64 // sent within a second on a kept connection while the gateway closed it
	mu                 sync.Mutex
	lost               []string
	clients            sync.WaitGroup
}

func startStopLoad(d *deployment, g *runningGateway) *stopLoad {
	l := &stopLoad{gateway: g}
	l.routed.Store(true)
	go func() {
		for misses := 0; !l.ended.Load(); time.Sleep(time.Second) {
			if d.status(g.settings.ReadyListen, platformtest.ReadinessPath) == 200 {
				misses = 0
			} else if misses++; misses == 2 {
				l.routed.Store(false)
			}
		}
	}()
	for range 125 { // 250 requests a second, each on a new connection
		l.clients.Go(func() {
			time.Sleep(rand.N(500 * time.Millisecond))
			for !l.ended.Load() && l.routed.Load() {
				l.exchange(1)
				time.Sleep(nextPause())
			}
		})
	}
	for range 125 { // 250 a second on kept connections
		l.clients.Go(func() {
			time.Sleep(rand.N(500 * time.Millisecond))
			for !l.ended.Load() && l.routed.Load() {
				l.exchange(1000)
				time.Sleep(nextPause()) // without it, a closed connection would double the load
			}
		})
	}
	return l
}

// nextPause returns the time from an answer to a client's next request.
func nextPause() time.Duration { return 400*time.Millisecond + rand.N(200*time.Millisecond) }

// exchange sends up to n requests on one connection, with a pause between them.
func (l *stopLoad) exchange(n int) {
	conn, err := net.Dial("tcp", l.gateway.settings.Instance.Listen)
	if err != nil {
		if l.routed.Load() {
			l.lose("connection refused while the load balancer still sends: %v", err)
		}
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	lastAnswer := time.Now()
	for i := range n {
		if i > 0 {
			time.Sleep(nextPause())
		}
		if l.ended.Load() {
			return
		}
		id := nextID()
		request, err := http.NewRequest("POST", "http://h/patient/x", nil)
		if err != nil {
			panic(err) // unreachable: the request is constant
		}
		platformtest.PrepareRequest(request, id, "h", patientMs)
		idle := time.Since(lastAnswer)
		if err := request.Write(conn); err != nil {
			l.breakOff(i, id, idle, err)
			return
		}
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			l.breakOff(i, id, idle, err)
			return
		}
		body, err := io.ReadAll(response.Body)
		switch {
		case err != nil:
			l.lose("request %d of a connection: body: %v", i, err)
			return
		case response.StatusCode == 200 && string(body) == "answer to "+id:
			l.answered.Add(1)
		case response.StatusCode == 503:
			l.rejected.Add(1)
		default:
			l.lose("request %d of a connection: status %d, %q", i, response.StatusCode, body)
		}
		if response.Close {
			return
		}
		lastAnswer = time.Now()
	}
}

// breakOff records a request that got no answer. The gateway may close an idle
// connection while a request is on its way; it has not read that one.
func (l *stopLoad) breakOff(i int, id string, idle time.Duration, err error) {
	if i > 0 {
		if idle < time.Second { // a busy machine may delay a client for longer
			l.crossed.Add(1)
		}
		return
	}
	l.lose("request %s on a new connection: %v", id, err)
}

func (l *stopLoad) lose(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = append(l.lost, fmt.Sprintf(format, values...))
}

// patientMs is a deadline that also a slow machine meets: with a shorter one, the
// gateway rejects, truly, what it cannot serve in time.
const patientMs = 5000

// Guards against requests that were accepted and get no answer while a gateway shuts
// down under 500 requests a second, on connections accepted until its last moment.
func TestShutdownUnderLoadLosesNoRequest(t *testing.T) {
	d := newDeployment(t, 2)
	for _, e := range d.engines {
		e.Slots = 64
		e.Register(d.store, "ready", e.Address())
	}
	g := d.gateways[0]
	d.configure(2, platformtest.Route{Prefix: "/patient/", Kind: "idempotent", Service: "app", TimeoutMs: patientMs, ObjectiveMs: patientMs, MaxAttempts: 1})
	d.eventually("the slots and the route in force", func() bool {
		usable := g.holder.View().Usable("app")
		return len(usable) == 1 && usable[0].Slots == 64 && g.holder.View().Configuration.Version == 2
	})
	load := startStopLoad(d, g)
	time.Sleep(2 * time.Second)
	d.eventually("load", func() bool { return load.answered.Load() >= 250 })
	beforeStop := load.answered.Load()
	started := time.Now()
	g.stop()
	if err := <-g.done; err != nil {
		t.Error(err)
	}
	took := time.Since(started)
	load.ended.Store(true)
	load.clients.Wait()
	t.Logf("%d answered, %d rejected, %d crossed the close of an idle connection; stopped in %v",
		load.answered.Load(), load.rejected.Load(), load.crossed.Load(), took)
	for _, lost := range load.lost {
		t.Error(lost)
	}
	if during := load.answered.Load() - beforeStop; during < 250 || load.rejected.Load() > 0 {
		t.Errorf("%d answered before the stop, %d during it, %d rejected", beforeStop, during, load.rejected.Load())
	}
	// A kept connection that is used within a second learns of the shutdown from its
	// next answer, long before the gateway closes it.
	if load.crossed.Load() > 0 {
		t.Errorf("%d requests crossed the close", load.crossed.Load())
	}
}

// Guards against connections that wait to be accepted when the gateway stops listening
// and are reset unanswered, and against requests that are read after the shutdown began
// and dropped.
func TestAcceptBacklogIsServed(t *testing.T) {
	l, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newGracefulServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })})
	const waiting = 50
	var conns []net.Conn
	for range waiting {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	served := make(chan error, 1)
	listener := server.listen(l)
	go func() { served <- serve(server.Server, listener) }()
	// The last one is accepted before the shutdown, and sends its request during it.
	late, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	conns = append(conns, late)
	time.AfterFunc(200*time.Millisecond, func() { _, _ = io.WriteString(late, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") })
	if err := server.stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	for i, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != 200 {
			t.Errorf("connection %d: %v", i, err)
		}
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// Guards against requests that an entry drops because they arrive while it closes its
// server: they get a response that says that they were not executed.
func TestEntryAnswersDuringShutdown(t *testing.T) {
	s, err := settings.ParseEntry("entry.ini", []byte("[instance]\nid = e\ndata_centre = z\nlisten = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:1\n"))
	if err != nil {
		t.Fatal(err)
	}
	e, err := NewEntry(s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	if response, err := http.Get("http://" + e.Address() + "/healthz"); err != nil {
		t.Fatal(err)
	} else {
		response.Body.Close()
	}
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", e.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	cancel()
	time.Sleep(200 * time.Millisecond)
	for i, conn := range conns {
		if _, err := io.WriteString(conn, "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Errorf("connection %d: %v", i, err)
			continue
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("connection %d: %v", i, err)
			continue
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(body), `"executed":"no"`) {
			t.Errorf("connection %d: %d %s, %v", i, response.StatusCode, body, err)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
