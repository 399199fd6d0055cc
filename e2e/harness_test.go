// Package e2e tests entries and agents as processes on the loopback interface.
// The upstreams and the platform are simulated in the test process.
package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/cli"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/loadgen"
	"github.com/magnoliausher/magnoliausher/standin/engine"
	standin "github.com/magnoliausher/magnoliausher/standin/platform"
	"github.com/magnoliausher/magnoliausher/standin/service"
	"github.com/magnoliausher/magnoliausher/storage"
)

// runEnvironment is the environment variable that makes the test binary run the
// product's command line instead of the tests.
const runEnvironment = "MAGNOLIAUSHER_E2E_RUN"

const (
	key        = "e2e-key"
	model      = "assistant"
	dataCentre = "dc-1"

	poisonMarker = "crash-the-engine"
	restartDelay = time.Second
)

var previousBuild = flag.String("e2e.previous", "", "path of an earlier build, which runs about half of the processes")

// builds selects the build of each process at random. The name of the test is the
// seed, so that every run of a test starts the same builds; with -count, the
// repetitions in one run start others.
var builds = struct {
	mu     sync.Mutex
	byTest map[string]*rand.Rand
}{byTest: make(map[string]*rand.Rand)}

// binary returns the path of the build for the next process.
func binary(t *testing.T) string {
	if *previousBuild == "" {
		return os.Args[0]
	}
	builds.mu.Lock()
	defer builds.mu.Unlock()
	random := builds.byTest[t.Name()]
	if random == nil {
		seed := fnv.New64a()
		_, _ = io.WriteString(seed, t.Name()) // a hash returns no error
		random = rand.New(rand.NewPCG(seed.Sum64(), 0))
		builds.byTest[t.Name()] = random
	}
	if random.IntN(2) == 0 {
		t.Log("starting a process of the earlier build")
		return *previousBuild
	}
	return os.Args[0]
}

func TestMain(m *testing.M) {
	if os.Getenv(runEnvironment) != "" {
		os.Exit(cli.Main(os.Args))
	}
	os.Exit(m.Run())
}

// process is a running entry or agent.
type process struct {
	id       string
	address  string
	settings string
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has exited
	err      error         // result of Wait; valid once done is closed
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("%s: %v", p.id, err)
	}
}

// fleet is the system under test.
type fleet struct {
	t               *testing.T
	dataCentre      string // of processes started from now on
	platform        *standin.Platform
	portal          *service.Server
	platformAddress string
	entries         []*process
	agents          []*process
	engines         []*engine.Server
}

func newFleet(t *testing.T, engines, entries int) *fleet {
	t.Helper()
	f := &fleet{t: t, dataCentre: dataCentre, platform: standin.New(standin.Config{}), portal: service.New()}
	doc := &contract.Document{
		Version: 1, ChangeID: "e2e", SheetDate: "2026-01-02", Revision: 1,
		Services: []contract.Service{
			{Name: model, Kind: contract.KindEngine, Model: model},
			{Name: "portal", Kind: contract.KindPlain, NonRepeatable: []contract.Route{{Method: "POST", Path: "/invoices"}}},
		},
		Groups: []contract.UpstreamGroup{
			{Name: "engines", Service: model, DataCentre: dataCentre, Role: "serve", Count: engines},
			{Name: "portals", Service: "portal", DataCentre: dataCentre, Role: "serve", Count: 1},
		},
		Callers: []contract.Caller{{
			ID: "c", Organisation: "o", KeySHA256: contract.HashKey(key), RatePerSecond: 1e4, Burst: 1e4, MaxInProgress: 1e4,
			Classes: []contract.Class{contract.ClassOnline, contract.ClassBatch}, Operator: true,
		}},
	}
	if _, err := contract.NewStore(f.platform).Accept(t.Context(), 0, doc); err != nil {
		t.Fatal(err)
	}
	f.platformAddress = serve(t, f.platform.Handler())
	for i := range engines {
		f.agents = append(f.agents, f.startAgent(fmt.Sprintf("agent-%d", i), model, "engine", f.startEngine()))
	}
	f.agents = append(f.agents, f.startAgent("agent-portal", "portal", "plain", serve(t, f.portal.Handler())))
	for i := range entries {
		f.entries = append(f.entries, f.startEntry(fmt.Sprintf("entry-%d", i)))
	}
	for _, e := range f.entries {
		f.awaitServing(e)
	}
	return f
}

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func (f *fleet) startEngine() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := engine.New(engine.Config{PoisonMarker: poisonMarker, RestartDelay: restartDelay})
	f.engines = append(f.engines, e)
	var running sync.WaitGroup
	running.Go(func() { _ = e.Serve(ctx, l) })
	f.t.Cleanup(func() { cancel(); running.Wait() })
	return l.Addr().String()
}

func (f *fleet) startAgent(id, svc, kind, upstreamAt string) *process {
	p := f.start(id, "agent", fmt.Sprintf(
		"[instance]\nrole=agent\nid=%s\ndata_centre=%s\nlisten=127.0.0.1:0\n[upstream]\naddress=%s\nservice=%s\nkind=%s\n",
		id, f.dataCentre, upstreamAt, svc, kind))
	f.platform.SetInstance(storage.Instance{ID: id, Role: storage.RoleAgent, DataCentre: f.dataCentre,
		Address: p.address, Service: svc, State: storage.InstanceLive})
	return p
}

func (f *fleet) startEntry(id string) *process {
	p := f.start(id, "entry", fmt.Sprintf(
		"[instance]\nrole=entry\nid=%s\ndata_centre=%s\nlisten=127.0.0.1:0\n[platform]\naddress=%s\n", id, f.dataCentre, f.platformAddress))
	f.platform.SetInstance(storage.Instance{ID: id, Role: storage.RoleEntry, DataCentre: f.dataCentre,
		Address: p.address, State: storage.InstanceLive})
	return p
}

// start runs a role and reads its address from its log.
func (f *fleet) start(id, role, settings string) *process {
	f.t.Helper()
	file := filepath.Join(f.t.TempDir(), id+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(binary(f.t), role, file)
	cmd.Env = append(os.Environ(), runEnvironment+"=1")
	stderr, err := cmd.StderrPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	p := &process{id: id, settings: settings, cmd: cmd, done: make(chan struct{})}
	started := make(chan string, 1)
	go p.watch(stderr, started)
	f.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-p.done
	})
	select {
	case p.address = <-started:
	case <-p.done:
		f.t.Fatalf("%s exited during its start: %v", id, p.err)
	}
	return p
}

func (p *process) watch(stderr io.Reader, started chan<- string) {
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		var line struct{ Address, Message string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && strings.HasSuffix(line.Message, " started") {
			started <- line.Address
		}
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

// awaitServing waits until the entry serves requests for both services.
func (f *fleet) awaitServing(p *process) {
	f.t.Helper()
	for {
		err := chat(f.t.Context(), p.address, "warm up", 1)
		resp, portalErr := post(f.t.Context(), p.address, "/services/portal/warm-up", "", nil)
		if portalErr == nil {
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				return
			}
		}
		select {
		case <-p.done:
			f.t.Fatalf("%s exited: %v", p.id, p.err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// caller sends requests with the API key of the test.
var caller = &loadgen.Client{Key: key}

func newLoad() *loadgen.Generator { return &loadgen.Generator{Client: caller, Model: model} }

// chat sends one streamed request and checks the complete response.
func chat(ctx context.Context, address, prompt string, tokens int) error {
	return caller.Chat(ctx, address, loadgen.NewChatRequest(model, prompt, tokens), nil)
}

func post(ctx context.Context, address, path, idempotencyKey string, body []byte) (*http.Response, error) {
	return caller.Post(ctx, address, path, idempotencyKey, body)
}

// report logs the results of a load. A response that looks complete and is wrong
// fails the test.
func report(t *testing.T, l *loadgen.Generator) {
	t.Helper()
	t.Logf("%s", l.Counts())
	for _, f := range l.Failures() {
		t.Logf("failure: %s", f)
	}
	if l.Counts().Wrong > 0 {
		t.Error("a response looked complete and was wrong")
	}
}
