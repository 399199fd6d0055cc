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

// deployment consists of gateway processes, a simulated store, simulated engines
// and callers.
type deployment struct {
	t           *testing.T
	random      *rand.Rand // selects the faults; callers have their own generators
	seed        uint64
	plannedOnly bool
	started     time.Time
	faultsEnded time.Time
	store       *platformtest.Store
	engines     []*platformtest.Engine // the last one serves the plain service
	relays      []*network.Relay       // in front of the engines
	gateways    []*gateway
	version     int
	pending     sync.WaitGroup // faults that end in the background
	callers     sync.WaitGroup
	stop        chan struct{}
	faultFree   atomic.Bool // no fault is active and all gateways serve

	deadlyPrompts    atomic.Int32 // faults in progress during which some prompts crash engines
	deadlyInProgress atomic.Int32 // such prompts that callers wait for

	mu      sync.Mutex
	events  []string
	sent    []*request
	jobs    []*job
	streams []*stream
	losses  []loss
	// Take-ups that were expected to go on, and those of them that did.
	expected, continued int
	// releasing holds the engines that a release waits to replace.
	releasing map[int]bool
	read      map[string]map[int]string // results that were read, by job and position
}

func newDeployment(t *testing.T, seed uint64, plannedOnly bool) *deployment {
	d := &deployment{t: t, random: rand.New(rand.NewPCG(seed, 1)), seed: seed, plannedOnly: plannedOnly, started: time.Now(),
		store: platformtest.NewStore(), stop: make(chan struct{}), read: make(map[string]map[int]string), releasing: make(map[int]bool)}
	t.Cleanup(d.store.Close)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d:\n%s", seed, strings.Join(d.events, "\n"))
		}
	})
	engines := engineCount
	if seed >= firstVersionsSeed {
		engines = versionEngineCount
	}
	for i := range engines {
		e := platformtest.NewEngine(fmt.Sprint("e", i), "llm", d.dataCentre(i))
		if i == engines-1 {
			e.Service, e.Plain = "app", true
		}
		e.Interval, e.Slots = 20*time.Millisecond, 6
		if seed >= firstVersionsSeed {
			e.Events, e.NamesVersion, e.Software = versionEvents, true, d.softwareVersion(i)
		}
		t.Cleanup(e.Close)
		relay, err := network.StartRelay(e.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(relay.Close)
		if seed >= firstDeadlyPartSeed {
			e.DeadlyPart, e.RestartDelay, e.Store = deadlyPart, restartDelay, d.store
		}
		d.engines, d.relays = append(d.engines, e), append(d.relays, relay)
		e.Advertised = d.engineAddress(i)
		d.registerEngine(i, "ready")
	}
	d.reconfigure()
	count := gatewayCount
	if seed >= firstTwoDataCentreSeed {
		count++
	}
	if *gateways > 0 {
		count = *gateways
	}
	for i := range count {
		d.startGateway(i)
	}
	for _, g := range d.gateways {
		d.await(g.name+" ready", recoveryTime, g.ready)
	}
	return d
}

func (d *deployment) logEvent(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, fmt.Sprintf("%6.2f ", time.Since(d.started).Seconds())+fmt.Sprintf(format, args...))
}

// engineAddress returns the address that gateways connect to: of the engine's relay, or
// of the engine in odd seeds with deadly prompts, since a relay accepts connections for
// an engine that has crashed.
func (d *deployment) engineAddress(i int) string {
	if d.seed >= firstDeadlyPartSeed && d.seed%2 == 1 {
		return d.engines[i].Address()
	}
	return d.relays[i].Address()
}

// registerEngine writes the store's row of an engine.
func (d *deployment) registerEngine(i int, state string) {
	d.engines[i].Register(d.store, state, d.engineAddress(i))
}

func (d *deployment) reconfigure() {
	d.version++
	d.logEvent("configuration %d", d.version)
	var quota int64 // none
	if d.seed >= firstRefusedJobSeed {
		quota = 300 // of about 15 jobs
	}
	d.store.PutConfiguration(d.version, "h", 1<<20,
		platformtest.Route{Prefix: "/once/", Kind: "stream", Service: "llm", TimeoutMs: 4000, ObjectiveMs: 300, MaxAttempts: 1},
		platformtest.Route{Prefix: "/resume/", Kind: "stream", Service: "llm", TimeoutMs: 4000, ObjectiveMs: 300, MaxAttempts: 3, Resumable: true},
		platformtest.Route{Prefix: "/call/", Kind: "idempotent", Service: "app", TimeoutMs: 2000, ObjectiveMs: 150, MaxAttempts: 3},
		platformtest.Route{Prefix: "/batch/", Kind: "batch", Service: "llm", ObjectiveMs: 400, MaxAttempts: 3, Quota: quota},
		platformtest.Route{Prefix: fmt.Sprintf("/version/%d/", d.version), Kind: "idempotent", Service: "app", TimeoutMs: 2000, MaxAttempts: 3})
}

// applyFor begins a fault now and ends it after the duration, in the background.
func (d *deployment) applyFor(duration time.Duration, begin, end func()) {
	begin()
	d.pending.Go(func() {
		time.Sleep(duration)
		end()
	})
}

// killAndRestartGateways kills all gateways with SIGKILL and starts them again.
// Other processes keep running.
func (d *deployment) killAndRestartGateways() {
	for _, g := range d.gateways {
		g.restart(syscall.SIGKILL)
	}
}

// awaitFaultsEnd waits until all faults have ended.
func (d *deployment) awaitFaultsEnd() {
	d.pending.Wait()
	d.await("end of the prompts that crash engines", recoveryTime, func() bool { return d.deadlyInProgress.Load() == 0 })
	time.Sleep(restartDelay + 300*time.Millisecond) // and the registration of the engines that they crashed
	d.store.LoseResponses(0)
	d.store.DropCommits(0)
	d.store.DelayCommits(0, 0)
	d.store.RefuseReads(false)
	d.faultsEnded = time.Now()
	d.logEvent("all faults ended")
}

// countRelayedCommits returns how many commits the gateways made through a peer, and how many
// of these conflicted, by the logs of the gateways.
func (d *deployment) countRelayedCommits() (all, conflicts int) {
	for _, g := range d.gateways {
		for _, name := range g.logs {
			content, err := os.ReadFile(name)
			if err != nil {
				d.t.Error(err)
			}
			for line := range strings.Lines(string(content)) {
				if strings.Contains(line, `"message":"store write"`) && strings.Contains(line, `"call":"commit"`) && !strings.Contains(line, `"via":"direct"`) && !strings.Contains(line, `"via":"for_peer"`) {
					all++
					if strings.Contains(line, "condition failed") {
						conflicts++
					}
				}
			}
		}
	}
	return all, conflicts
}

func (d *deployment) await(what string, timeout time.Duration, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.logEvent("FAILED: %s", what)
	d.t.Errorf("seed %d: %s: not true within %v", d.seed, what, timeout)
}

// gateway is a gateway whose process is restarted after each exit.
type gateway struct {
	d            *deployment
	name         string
	listen       string
	readyAddress string
	settingsFile string
	store        *network.Relay // in front of the store

	mu       sync.Mutex // guards the fields below and orders signals
	builds   *rand.Rand // selects the build of each start; its own generator, so that the faults of a seed stay the same
	cmd      *exec.Cmd
	exited   chan struct{}
	stopping bool      // an exit is expected
	upSince  time.Time // start, or end of the last pause; in the future while it is paused
	logs     []string
}

// address returns an address that no other seed or gateway uses. A port of
// 127.0.0.1 could be taken by an outgoing connection during a restart.
func (d *deployment) address(gateway, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+d.seed/200%200, 1+d.seed%200, 1+gateway, port)
}

// Ports of a gateway at its own IP address.
const (
	callerPort = 7001 + iota
	readyPort
	peerPort
)

func (d *deployment) startGateway(index int) {
	name := fmt.Sprint("g", index)
	store, err := network.StartRelay(d.store.Address())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(store.Close)
	g := &gateway{d: d, name: name, listen: d.address(index, callerPort), readyAddress: d.address(index, readyPort), store: store,
		builds:       rand.New(rand.NewPCG(d.seed, uint64(200+index))),
		settingsFile: filepath.Join(d.logDirectory(), name+".ini")}
	text := fmt.Sprintf("[instance]\nrole = gateway\nid = %s\ndata_centre = %s\nlisten = %s\nready_listen = %s\npeer_listen = %s\n"+
		"[platform]\naddress = %s\n[timeouts]\ngrace = 8s\n", name, d.dataCentre(index), g.listen, g.readyAddress, d.address(index, peerPort), store.Address())
	if err := os.WriteFile(g.settingsFile, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	g.mu.Lock()
	g.run()
	g.mu.Unlock()
	d.t.Cleanup(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.stopping = true
		_ = g.cmd.Process.Kill()
		<-g.exited
	})
	d.gateways = append(d.gateways, g)
}

// dataCentre returns the data centre of a gateway or an engine.
func (d *deployment) dataCentre(index int) string {
	if d.seed >= firstTwoDataCentreSeed && index%2 == 1 {
		return "y"
	}
	return "z"
}

// logDirectory returns the directory of the settings and logs of the gateways.
func (d *deployment) logDirectory() string {
	if *logs == "" {
		return d.t.TempDir()
	}
	directory := filepath.Join(*logs, fmt.Sprint(d.seed))
	if err := os.MkdirAll(directory, 0o700); err != nil {
		d.t.Fatal(err)
	}
	return directory
}

// binary returns the path of the build for the next start. If an earlier build is
// given, the seed selects one of the two. The caller must hold g.mu.
func (g *gateway) binary() (string, error) {
	if *previousBuild != "" && g.builds.IntN(2) == 0 {
		g.d.logEvent("%s starts with the earlier build", g.name)
		return *previousBuild, nil
	}
	return os.Executable()
}

// run starts the process. The caller must hold g.mu.
func (g *gateway) run() {
	binary, err := g.binary()
	if err != nil {
		g.d.t.Error(err)
		return
	}
	log, err := os.Create(g.settingsFile + fmt.Sprintf(".%d.log", time.Now().UnixNano()))
	if err != nil {
		g.d.t.Error(err)
		return
	}
	g.logs = append(g.logs, log.Name())
	g.upSince = time.Now()
	g.cmd = exec.Command(binary, "gateway", g.settingsFile)
	g.cmd.Env = append(os.Environ(), runEnvironment+"=1")
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		g.d.t.Error(err)
		return
	}
	cmd, exited := g.cmd, make(chan struct{})
	g.exited = exited
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(exited)
		g.mu.Lock()
		defer g.mu.Unlock()
		if !g.stopping {
			g.d.t.Errorf("seed %d: %s exited unexpectedly: %v; log: %s", g.d.seed, g.name, err, log.Name())
		}
	}()
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s) // the process may have exited after an earlier signal
}

// restart sends a signal that ends the process and starts it again 500 ms after its
// exit. A process that is shutting down already gets no further SIGTERM, but may be
// killed.
func (g *gateway) restart(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping && s == syscall.SIGTERM {
		return
	}
	g.d.recordLoss(g)
	_ = g.cmd.Process.Signal(s)
	if g.stopping {
		return // an earlier restart waits for the exit
	}
	g.stopping = true
	exited := g.exited
	g.d.pending.Go(func() {
		select {
		case <-exited:
		case <-time.After(9 * time.Second):
			g.d.t.Errorf("seed %d: %s did not exit within its grace period", g.d.seed, g.name)
			g.signal(syscall.SIGKILL)
			<-exited
		}
		time.Sleep(500 * time.Millisecond)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.stopping = false
		g.run()
	})
}

// stopWhileFrozen freezes the process for freezeTime and orders its stop meanwhile. It
// may be killed at the end of its grace, which began before it woke.
func (g *gateway) stopWhileFrozen(after time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return
	}
	g.stopping = true
	g.d.recordLoss(g)
	process, exited := g.cmd.Process, g.exited
	_ = process.Signal(syscall.SIGSTOP)
	g.d.pending.Go(func() {
		time.Sleep(after)
		_ = process.Signal(syscall.SIGTERM)
		time.Sleep(freezeTime - after)
		_ = process.Signal(syscall.SIGCONT)
		select {
		case <-exited:
		case <-time.After(8*time.Second - (freezeTime - after)):
			_ = process.Kill()
			<-exited
		}
		time.Sleep(500 * time.Millisecond)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.stopping = false
		g.run()
	})
}

func (g *gateway) pause(duration time.Duration) {
	g.mu.Lock()
	process := g.cmd.Process
	g.upSince = time.Now().Add(duration)
	g.mu.Unlock()
	g.d.recordLoss(g)
	g.d.applyFor(duration, func() { _ = process.Signal(syscall.SIGSTOP) }, func() { _ = process.Signal(syscall.SIGCONT) })
}

func (g *gateway) ready() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.readyAddress + platformtest.ReadinessPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
