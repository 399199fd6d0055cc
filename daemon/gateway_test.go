package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/platform/platformtest"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/settings"
	"github.com/magnoliausher/magnoliausher/standin/network"
)

// deployment runs a fake store, fake engines and gateways on the loopback interface.
type deployment struct {
	t        *testing.T
	store    *platformtest.Store
	engines  []*platformtest.Engine
	gateways []*runningGateway
}

type runningGateway struct {
	*Gateway
	stop context.CancelFunc
	done chan error
}

var routes = []platformtest.Route{
	{Prefix: "/ask/", Kind: "stream", Service: "llm", TimeoutMs: 5000, ObjectiveMs: 300, MaxAttempts: 1},
	{Prefix: "/resume/", Kind: "stream", Service: "llm", TimeoutMs: 5000, ObjectiveMs: 300, MaxAttempts: 2, Resumable: true},
	{Prefix: "/status/", Kind: "idempotent", Service: "app", TimeoutMs: 1000, ObjectiveMs: 150, MaxAttempts: 2},
	{Prefix: "/notes/", Kind: "batch", Service: "llm", ObjectiveMs: 400, MaxAttempts: 3, Quota: 100_000},
}

func newDeployment(t *testing.T, gateways int) *deployment {
	d := &deployment{t: t, store: platformtest.NewStore()}
	t.Cleanup(d.store.Close)
	for i := range 3 {
		d.engines = append(d.engines, platformtest.NewEngine(fmt.Sprint("e", i), "llm", "z"))
	}
	app := platformtest.NewEngine("app", "app", "z")
	app.Plain = true
	d.engines = append(d.engines, app)
	for _, e := range d.engines {
		t.Cleanup(e.Close)
		e.Register(d.store, "ready", e.Address())
	}
	d.configure(1)
	for i := range gateways {
		d.start(fmt.Sprint("g", i))
	}
	return d
}

func (d *deployment) configure(version int, more ...platformtest.Route) {
	d.store.PutConfiguration(version, "h", 1<<20, append(more, routes...)...)
}

// givenAddresses are the addresses that freeAddress has returned.
var givenAddresses sync.Map

// freeAddress returns an address that nothing else uses before the test does: on a
// loopback IP number of this process, and never twice. The kernel gives a port that was
// closed again to the next socket on the same IP number that asks for any.
func freeAddress(t *testing.T) string {
	t.Helper()
	const maxPIDBits = 22 // Linux
	pid := uint32(os.Getpid()) & (1<<maxPIDBits - 1)
	host := netip.AddrFrom4([4]byte{127, 64 + byte(pid>>16), byte(pid >> 8), byte(pid)}).String()
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		l.Close()
		if _, given := givenAddresses.LoadOrStore(address, true); !given {
			return address
		}
	}
}

func (d *deployment) start(name string) *runningGateway {
	d.t.Helper()
	return d.startAt(name, d.store.Address())
}

// startAt starts a gateway that connects to the store at the given address.
func (d *deployment) startAt(name, store string) *runningGateway {
	d.t.Helper()
	file := filepath.Join(d.t.TempDir(), "gateway.ini")
	var seeds []string
	for _, g := range d.gateways {
		seeds = append(seeds, g.settings.Instance.PeerListen)
	}
	text := fmt.Sprintf("[instance]\nrole = gateway\nid = %s\ndata_centre = z\nlisten = %s\nready_listen = %s\npeer_listen = %s\n"+
		"metrics_listen = %s\nseeds = %s\n[platform]\naddress = %s\n[timeouts]\ngrace = 8s\n[log]\nlevel = error\n", name,
		freeAddress(d.t), freeAddress(d.t), freeAddress(d.t), freeAddress(d.t), strings.Join(seeds, ","), store)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	s, err := settings.LoadGateway(file)
	if err != nil {
		d.t.Fatal(err)
	}
	g, err := NewGateway(file, s)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningGateway{Gateway: g, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- g.Run(ctx) }()
	d.t.Cleanup(cancel)
	d.gateways = append(d.gateways, r)
	d.eventually("gateway ready", func() bool {
		select {
		case err := <-r.done:
			d.t.Fatalf("gateway %s ended before it was ready: %v", name, err)
		default:
		}
		return d.status(s.ReadyListen, platformtest.ReadinessPath) == 200
	})
	return r
}

func (d *deployment) eventually(what string, ok func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	d.t.Fatal(what, ": not within 5 s")
}

func (d *deployment) status(address, path string) int {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// reply is the response to a caller; status 0 means that there was none.
type reply struct {
	status int
	body   string
	err    error
	header http.Header
	closes bool // the server closes the connection after the response
}

var requestNumber struct {
	sync.Mutex
	n int
}

func nextID() string {
	requestNumber.Lock()
	defer requestNumber.Unlock()
	requestNumber.n++
	return fmt.Sprint("r", requestNumber.n)
}

func (g *runningGateway) send(method, path, id string, body string) reply {
	return read(g.open(method, path, id, body, nil))
}

// open sends a request with more headers and returns the response, whose body is unread.
func (g *runningGateway) open(method, path, id, body string, more http.Header) (*http.Response, error) {
	request, err := http.NewRequest(method, "http://"+g.settings.Instance.Listen+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	maps.Copy(request.Header, more)
	platformtest.PrepareRequest(request, id, "h", 5000)
	return http.DefaultClient.Do(request)
}

func read(response *http.Response, err error) reply {
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, string(data), err, response.Header, response.Close}
}

func expectedStream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(platformtest.EventText(id, n))
	}
	return b.String()
}

// Guards against failures on the path from a caller to an engine and back.
func TestGatewayServes(t *testing.T) {
	d := newDeployment(t, 1)
	g := d.gateways[0]
	for _, path := range []string{"/ask/x", "/resume/x%2Fy?z=%41"} {
		id := nextID()
		if r := g.send("POST", path, id, "prompt"); r.status != 200 || r.body != expectedStream(id, 5) || r.header.Get(platformtest.SignatureHeader) != "seal-"+id {
			t.Errorf("%s: %+v", path, r)
		}
	}
	id := nextID()
	if r := g.send("POST", "/status/x", id, ""); r.status != 200 || r.body != "answer to "+id {
		t.Errorf("call: %+v", r)
	}
	if r := g.send("POST", "/none/x", nextID(), ""); r.status != 404 {
		t.Errorf("no route: %+v", r)
	}
	if r := g.send("POST", "/status/x", nextID(), strings.Repeat("x", 2<<20)); r.status != 413 {
		t.Errorf("body over the limit: %d", r.status)
	}
	if status := d.status(g.settings.MetricsListen, "/"); status != 200 {
		t.Errorf("metrics: %d", status)
	}
}

// Guards against returning an engine's failure to a caller when another engine could
// serve the request, and against retrying a request that may have run.
func TestGatewayAndBrokenEngines(t *testing.T) {
	d := newDeployment(t, 1)
	g := d.gateways[0]
	for fault, once := range map[platformtest.Fault]int{platformtest.Overloaded: 200, platformtest.TruncatedResponse: 0, platformtest.MissingSignature: 502, platformtest.Crash: 502} {
		d.engines[0].SetFault(fault)
		d.engines[1].SetFault(fault)
		for range 12 {
			id := nextID()
			r := g.send("POST", "/resume/x", id, "")
			if fault != platformtest.TruncatedResponse && r.status == 200 && r.body != expectedStream(id, 5) {
				t.Errorf("fault %d: resumable stream: %+v", fault, r)
			}
			id = nextID()
			r = g.send("POST", "/ask/x", id, "")
			runs := 0
			for _, e := range d.engines {
				runs += e.Runs(id)
			}
			cut := r.status == 200 && r.err != nil && once == 0
			if runs != 1 || r.status != 200 && r.status != once || r.status == 200 && r.body != expectedStream(id, 5) && !cut {
				t.Errorf("fault %d: ran %d times, %+v", fault, runs, r)
			}
		}
	}
}

// Guards against delays in applying a new configuration or an engine's draining
// state, and against losing them during a store outage.
func TestGatewayFollowsTheStore(t *testing.T) {
	d := newDeployment(t, 2)
	d.configure(2, platformtest.Route{Prefix: "/new/", Kind: "idempotent", Service: "app"})
	for _, e := range d.engines[:2] {
		e.Register(d.store, "draining", e.Address())
	}
	time.Sleep(300 * time.Millisecond)
	for _, g := range d.gateways {
		if r := g.send("POST", "/new/x", nextID(), ""); r.status != 200 {
			t.Errorf("new route: %+v", r)
		}
		before, _ := d.engines[0].RunStats()
		for range 5 {
			g.send("POST", "/ask/x", nextID(), "")
		}
		if after, _ := d.engines[0].RunStats(); after != before {
			t.Error("a draining engine received a new request")
		}
	}
	d.store.FailWith(503)
	for _, g := range d.gateways {
		if r := g.send("POST", "/new/x", nextID(), ""); r.status != 200 {
			t.Errorf("during the store outage: %+v", r)
		}
		if status := d.status(g.settings.ReadyListen, platformtest.ReadinessPath); status != 200 {
			t.Errorf("readiness during the store outage: %d", status)
		}
	}
	// A gateway started during the outage gets its state from its peers.
	late := d.start("late")
	if r := late.send("POST", "/new/x", nextID(), ""); r.status != 200 {
		t.Errorf("gateway started during the store outage: %+v", r)
	}
}

// Guards against a shutdown that aborts requests or exceeds the grace period.
func TestGatewayShutsDownGracefully(t *testing.T) {
	d := newDeployment(t, 2)
	for _, e := range d.engines {
		e.Interval = 150 * time.Millisecond
	}
	g := d.gateways[0]
	replies := make(chan reply, 20)
	ids := make(chan string, 20)
	for range 6 {
		go func() {
			id := nextID()
			ids <- id
			r := g.send("POST", "/ask/x", id, "")
			if r.status == 200 && r.body != expectedStream(id, 5) {
				r.status = -1
			}
			replies <- r
		}()
	}
	time.Sleep(200 * time.Millisecond)
	started := time.Now()
	g.stop()
	time.Sleep(50 * time.Millisecond)
	if status := d.status(g.settings.ReadyListen, platformtest.ReadinessPath); status != 503 {
		t.Errorf("readiness during the shutdown: %d", status)
	}
	if r := g.send("POST", "/status/x", nextID(), ""); r.status != 200 || !r.closes {
		t.Errorf("request before the load balancer notices the shutdown: %+v", r)
	}
	for range 6 {
		if r := <-replies; r.status != 200 || r.err != nil {
			t.Errorf("request in progress: %+v", r)
		}
	}
	if err := <-g.done; err != nil {
		t.Error(err)
	}
	if took := time.Since(started); took > 7*time.Second {
		t.Errorf("took %v of a grace of 8 s", took)
	}
}

// Guards against gateways that respond differently to calls for the same batch job.
func TestGatewayBatch(t *testing.T) {
	d := newDeployment(t, 2)
	job := platformtest.EncodeJob("item", "/notes/x", 5, 10)
	for _, g := range d.gateways {
		if r := g.send("POST", "/notes/j", "job1", job); r.status != 202 {
			t.Fatalf("submission: %+v", r)
		}
	}
	d.eventually("results", func() bool {
		for _, g := range d.gateways {
			r := g.send("GET", platformtest.ResultsPath("job1", 0), nextID(), "")
			var page platformtest.ResultsPage
			if err := json.Unmarshal([]byte(r.body), &page); err != nil || page.Total != 5 || len(page.Results) != 5 || page.Next != 5 {
				return false
			}
			for _, result := range page.Results {
				if result.State != "done" || result.Output != platformtest.ExpectedOutput(result.ID, 5) {
					t.Fatalf("result %+v", result)
				}
			}
		}
		return true
	})
	if r := d.gateways[1].send("GET", platformtest.ItemBodyPath("job1", "item-3"), nextID(), ""); r.status != 200 || r.body != "text" {
		t.Errorf("body of an item: %+v", r)
	}
	if r := d.gateways[1].send("DELETE", platformtest.ResultsPath("job1", 0), nextID(), ""); r.status != 200 {
		t.Errorf("cancellation: %+v", r)
	}
	if r := d.gateways[0].send("GET", platformtest.ResultsPath("none", 0), nextID(), ""); r.status != 404 {
		t.Errorf("unknown job: %+v", r)
	}
	if r := d.gateways[0].send("POST", "/notes/k", "job2", "{"); r.status != 400 {
		t.Errorf("unreadable job: %+v", r)
	}
	large := platformtest.EncodeJob("large", "/notes/x", 5, 100_000)
	if r := d.gateways[0].send("POST", "/notes/k", "job3", large); r.status != 429 || r.header.Get("Retry-After") == "" {
		t.Errorf("job over the quota: %+v", r)
	}
}

// Guards against items that restart from the beginning when their gateway shuts
// down, instead of being resumed by a peer.
func TestGatewayHandsJobsOver(t *testing.T) {
	d := newDeployment(t, 2)
	for _, e := range d.engines {
		e.Events, e.Interval = 100, 20*time.Millisecond
	}
	d.eventually("peers", func() bool { return len(d.gateways[0].exchange.Members()) == 1 })
	if r := d.gateways[0].send("POST", "/notes/j", "job1", platformtest.EncodeJob("item", "/notes/x", 5, 10)); r.status != 202 {
		t.Fatalf("submission: %+v", r)
	}
	time.Sleep(time.Second)
	d.gateways[0].stop()
	d.eventually("results", func() bool {
		r := d.gateways[1].send("GET", platformtest.ResultsPath("job1", 0), nextID(), "")
		var page platformtest.ResultsPage
		return json.Unmarshal([]byte(r.body), &page) == nil && len(page.Results) == 5
	})
	for i := range 5 {
		item, runs, resumed := fmt.Sprint("item-", i), 0, 0
		for _, e := range d.engines {
			runs, resumed = runs+e.Runs(item), resumed+e.Resumed(item)
		}
		if runs != 1 || resumed == 0 {
			t.Errorf("%s was started %d times and resumed %d times", item, runs, resumed)
		}
	}
}

// Guards against batch jobs that are delayed for minutes on a gateway whose connections
// to the store are refused, or get no response, while its peers can reach the store.
func TestGatewayWithoutStoreConnection(t *testing.T) {
	d := newDeployment(t, 1)
	path, err := network.StartRelay(d.store.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Close)
	g := d.startAt("cut", path.Address())
	for name, cut := range map[string]func(){
		"refused": func() { path.SetFaults(network.Faults{Refuse: true}); path.Reset() },
		"silent":  func() { path.SetFaults(network.Faults{DropToTarget: true}) },
	} {
		if r := g.send("POST", "/notes/j", name+"-before", platformtest.EncodeJob(name+"-before", "/notes/x", 2, 10)); r.status != 202 {
			t.Errorf("%s: before the cut: %+v", name, r)
		}
		cut()
		d.eventually(name+": job accepted", func() bool {
			return g.send("POST", "/notes/j", name, platformtest.EncodeJob(name, "/notes/x", 3, 10)).status == 202
		})
		for job, items := range map[string]int{name: 3, name + "-before": 2} {
			d.eventually(name+": results of "+job, func() bool {
				var page platformtest.ResultsPage
				r := g.send("GET", platformtest.ResultsPath(job, 0), nextID(), "")
				return json.Unmarshal([]byte(r.body), &page) == nil && len(page.Results) == items
			})
		}
		if r := g.send("DELETE", platformtest.ResultsPath(name, 0), nextID(), ""); r.status != 200 {
			t.Errorf("%s: cancellation: %+v", name, r)
		}
		path.SetFaults(network.Faults{})
		path.Reset()
		time.Sleep(2 * time.Second)
	}
}

// Guards against blocking a harmless request whose connections broke several times,
// and against never blocking a request that keeps crashing engines.
func TestCrashIsCountedOnlyIfUpstreamIsDown(t *testing.T) {
	for _, accepts := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newCrashTracker(poison.NewTable(poison.Config{BlockAfter: crashesToBlock}),
				func(context.Context, *fleet.Upstream) bool { return accepts }, func(uint64) int { return 0 }, zerolog.Nop())
			subject := &poison.Subject{Request: 7}
			for range crashesToBlock {
				for range 8 { // connections broken by one crash
					c.RecordBroken(&fleet.Upstream{ID: "e"}, subject, 0)
				}
				time.Sleep(2 * time.Second)
				synctest.Wait()
			}
			if c.Recheck(subject).Blocked == accepts {
				t.Errorf("upstream accepts %v: blocked %v", accepts, c.Recheck(subject).Blocked)
			}
		})
	}
}
