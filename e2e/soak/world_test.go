package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
	"github.com/magnoliausher/magnoliausher/standin/network"
)

// world is one deployment with its callers.
type world struct {
	t           *testing.T
	random      *rand.Rand // of the faults; callers draw from their own
	seed        uint64
	plannedOnly bool
	started     time.Time
	store       *platformtest.Store
	engines     []*platformtest.Engine // the last one is a plain service
	relays      []*network.Relay       // in front of the engines
	gateways    []*gateway
	version     int
	pending     sync.WaitGroup // faults that end by themselves
	callers     sync.WaitGroup
	stop        chan struct{}
	calm        atomic.Bool // no fault is in force and all gateways serve

	mu    sync.Mutex
	notes []string
	sent  []*request
	jobs  []*job
}

func newWorld(t *testing.T, seed uint64, plannedOnly bool) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), seed: seed, plannedOnly: plannedOnly, started: time.Now(),
		store: platformtest.NewStore(), stop: make(chan struct{})}
	t.Cleanup(w.store.Close)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d:\n%s", seed, strings.Join(w.notes, "\n"))
		}
	})
	for i := range engineCount {
		e := platformtest.NewEngine(fmt.Sprint("e", i), "llm", w.dataCentre(i))
		if i == engineCount-1 {
			e.Service, e.Plain = "app", true
		}
		e.Interval, e.Slots = 20*time.Millisecond, 6
		t.Cleanup(e.Close)
		relay, err := network.StartRelay(e.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(relay.Close)
		w.engines, w.relays = append(w.engines, e), append(w.relays, relay)
		w.register(i, "ready")
	}
	w.reconfigure()
	gateways := gatewayCount
	if seed >= firstSpreadSeed {
		gateways++
	}
	for i := range gateways {
		w.startGateway(i)
	}
	for _, g := range w.gateways {
		w.await(g.name+" ready", recoveryTime, g.ready)
	}
	return w
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%6.2f ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
}

// register writes an engine's entry with the address of its relay.
func (w *world) register(i int, state string) {
	w.engines[i].Register(w.store, state, w.relays[i].Address())
}

func (w *world) reconfigure() {
	w.version++
	w.note("configuration %d", w.version)
	w.store.PutConfiguration(w.version, "h", 1<<20,
		platformtest.Route{Prefix: "/once/", Kind: "stream", Service: "llm", TimeoutMs: 4000, ObjectiveMs: 300, MaxAttempts: 1},
		platformtest.Route{Prefix: "/resume/", Kind: "stream", Service: "llm", TimeoutMs: 4000, ObjectiveMs: 300, MaxAttempts: 3, Resumable: true},
		platformtest.Route{Prefix: "/call/", Kind: "idempotent", Service: "app", TimeoutMs: 2000, ObjectiveMs: 150, MaxAttempts: 3},
		platformtest.Route{Prefix: "/batch/", Kind: "batch", Service: "llm", ObjectiveMs: 400, MaxAttempts: 3},
		platformtest.Route{Prefix: fmt.Sprintf("/version/%d/", w.version), Kind: "idempotent", Service: "app", TimeoutMs: 2000, MaxAttempts: 3})
}

// during makes a change now and takes it back later, in the background.
func (w *world) during(span time.Duration, begin, end func()) {
	begin()
	w.pending.Go(func() {
		time.Sleep(span)
		end()
	})
}

func (w *world) killAll() {
	for _, g := range w.gateways {
		g.restart(syscall.SIGKILL)
	}
}

// heal waits for the ends of all faults.
func (w *world) heal() {
	w.pending.Wait()
	w.store.LoseResponses(0)
	w.store.DropCommits(0)
	w.note("healed")
}

func (w *world) await(what string, within time.Duration, ok func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.note("FAILED: %s", what)
	w.t.Errorf("seed %d: %s: not within %v", w.seed, what, within)
}

// gateway is a gateway that is started again whenever its process ends.
type gateway struct {
	w      *world
	name   string
	listen string
	check  string
	file   string
	store  *network.Relay

	mu      sync.Mutex // guards builds, cmd and the order of signals
	builds  *rand.Rand // draws the build of each start; apart from the faults, which a seed must not change
	cmd     *exec.Cmd
	ended   chan struct{}
	leaving bool
}

// address returns an address that no other seed or gateway uses. Ports of
// 127.0.0.1 could be taken by outgoing connections between two starts.
func (w *world) address(gateway, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+w.seed/200%200, 1+w.seed%200, 1+gateway, port)
}

// Ports of a gateway on its own address.
const (
	callerPort = 7001 + iota
	readyPort
	peerPort
)

func (w *world) startGateway(index int) {
	name := fmt.Sprint("g", index)
	store, err := network.StartRelay(w.store.Address())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(store.Close)
	g := &gateway{w: w, name: name, listen: w.address(index, callerPort), check: w.address(index, readyPort), store: store,
		builds: rand.New(rand.NewPCG(w.seed, uint64(200+index))),
		file:   filepath.Join(w.logFolder(), name+".ini")}
	text := fmt.Sprintf("[instance]\nrole = gateway\nid = %s\ndata_centre = %s\nlisten = %s\nready_listen = %s\npeer_listen = %s\n"+
		"[platform]\naddress = %s\n[timeouts]\ngrace = 8s\n", name, w.dataCentre(index), g.listen, g.check, w.address(index, peerPort), store.Address())
	if err := os.WriteFile(g.file, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	g.mu.Lock()
	g.run()
	g.mu.Unlock()
	w.t.Cleanup(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.leaving = true
		_ = g.cmd.Process.Kill()
		<-g.ended
	})
	w.gateways = append(w.gateways, g)
}

// dataCentre is where a gateway or an engine is.
func (w *world) dataCentre(index int) string {
	if w.seed >= firstSpreadSeed && index%2 == 1 {
		return "y"
	}
	return "z"
}

// logFolder is where a gateway's settings and logs lie.
func (w *world) logFolder() string {
	if *logs == "" {
		return w.t.TempDir()
	}
	folder := filepath.Join(*logs, fmt.Sprint(w.seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		w.t.Fatal(err)
	}
	return folder
}

// binary returns the program for the next start. Beside an earlier build the seed
// decides. The caller holds the lock.
func (g *gateway) binary() (string, error) {
	if *previous != "" && g.builds.IntN(2) == 0 {
		g.w.note("%s starts as the earlier build", g.name)
		return *previous, nil
	}
	return os.Executable()
}

// run starts the process. The caller holds the lock.
func (g *gateway) run() {
	binary, err := g.binary()
	if err != nil {
		g.w.t.Error(err)
		return
	}
	log, err := os.Create(g.file + fmt.Sprintf(".%d.log", time.Now().UnixNano()))
	if err != nil {
		g.w.t.Error(err)
		return
	}
	g.cmd = exec.Command(binary, "gateway", g.file)
	g.cmd.Env = append(os.Environ(), runEnvironment+"=1")
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		g.w.t.Error(err)
		return
	}
	cmd, ended := g.cmd, make(chan struct{})
	g.ended = ended
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(ended)
		g.mu.Lock()
		defer g.mu.Unlock()
		if !g.leaving {
			g.w.t.Errorf("seed %d: %s ended by itself: %v; %s", g.w.seed, g.name, err, log.Name())
		}
	}()
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s) // the process may have ended by an earlier signal
}

// restart ends the process by a signal and starts it again half a second
// later. A process that is shutting down already is left to that, but may be killed.
func (g *gateway) restart(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving && s == syscall.SIGTERM {
		return
	}
	_ = g.cmd.Process.Signal(s)
	if g.leaving {
		return // the first restart is waiting for the end
	}
	g.leaving = true
	ended := g.ended
	g.w.pending.Go(func() {
		select {
		case <-ended:
		case <-time.After(9 * time.Second):
			g.w.t.Errorf("seed %d: %s outlives its grace period", g.w.seed, g.name)
			g.signal(syscall.SIGKILL)
			<-ended
		}
		time.Sleep(500 * time.Millisecond)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.leaving = false
		g.run()
	})
}

func (g *gateway) pause(span time.Duration) {
	g.mu.Lock()
	process := g.cmd.Process
	g.mu.Unlock()
	g.w.during(span, func() { _ = process.Signal(syscall.SIGSTOP) }, func() { _ = process.Signal(syscall.SIGCONT) })
}

func (g *gateway) ready() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.check + platformtest.ReadinessPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
