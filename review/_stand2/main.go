// Command stand2 plays the cases of review/6 to review/10 that are scripts: it is the platform,
// the engines and the clients, and starts gateways as the deploy file does.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	startTimeout = 15 * time.Second
)

// world is what a case needs: the platform's store, the gateways and the record.
type world struct {
	trouble bool
	root    string // of the repository
	dir     string // temporary
	store   *platformtest.Store
	started time.Time

	mu       sync.Mutex
	record   *bufio.Writer
	gateways []*gateway
}

// errNotRun ends a case that could not run.
var errNotRun = errors.New("the case could not run")

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = w.record.WriteString(line)
	_ = w.record.Flush()
}

// gateway is one process of the deploy file's role.
type gateway struct {
	name, front, ready, control string
	memoryMB                    int
	settings                    string
	log                         *os.File
	cmd                         *exec.Cmd
	exited                      chan struct{}
}

// gatewayOptions are fields of the platform's settings.
type gatewayOptions struct {
	name     string
	zone     string
	memoryMB int
	maxFDs   int
}

// firstPort and ports are below the ports that the kernel gives to outgoing connections, so
// that none of these takes an address before the gateway listens there.
const firstPort, ports = 20000, 12000

// givenPorts are those that freePort has returned, which may not be in use yet.
var givenPorts = make(map[int]bool)

// freePort returns an address that is free for TCP and UDP.
func freePort() string {
	for {
		port := firstPort + rand.IntN(ports)
		if givenPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = packets.Close()
		givenPorts[port] = true
		return address
	}
}

// newGateway renders the template of the deploy file for a machine.
func (w *world) newGateway(o gatewayOptions, seeds []string) (*gateway, error) {
	g := &gateway{name: o.name, front: freePort(), ready: freePort(), control: freePort(), memoryMB: o.memoryMB}
	template, err := os.ReadFile(filepath.Join(w.root, "deploy", "gateway.ini"))
	if err != nil {
		return nil, err
	}
	host, port, _ := net.SplitHostPort(freePort())
	text := string(template)
	for name, value := range map[string]string{
		"node-name": o.name, "zone": o.zone, "listen.front": g.front, "listen.ready-addr": g.ready, "listen.control": g.control,
		"ip": host, "port-range.0": port, "seeds": strings.Join(append(seeds, g.control), ","), "platform.address": w.store.Address(),
		"limits.memory-mb": strconv.Itoa(o.memoryMB), "limits.max-fds": strconv.Itoa(o.maxFDs),
		"bounds.grace-s": "8", "bounds.status-s": "120",
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	g.settings = filepath.Join(w.dir, o.name+".ini")
	return g, os.WriteFile(g.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (w *world) start(g *gateway) error {
	log, err := os.OpenFile(filepath.Join(w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(w.root, "target", "magnoliausher"), "gateway")
	cmd.Dir = w.root
	cmd.Env = []string{"MAGNOLIAUSHER_NODE_FILE=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + w.dir}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.cmd, g.log, g.exited = cmd, log, make(chan struct{})
	go func(exited chan struct{}) {
		err := cmd.Wait()
		w.logf("gateway %s ended: %v", g.name, err)
		close(exited)
	}(g.exited)
	w.mu.Lock()
	w.gateways = append(w.gateways, g)
	w.mu.Unlock()
	w.logf("gateway %s started, process %d, memory-mb %d", g.name, cmd.Process.Pid, g.memoryMB)
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

func (g *gateway) hasExited() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}

// awaitReady waits until the gateway answers the platform's readiness probe with 200.
func (g *gateway) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + g.ready + "/magnoliausher/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: gateway %s is not ready", errNotRun, g.name)
}

// anonymousMB returns the memory of the process that is not backed by a file.
func (g *gateway) anonymousMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

const (
	faultEnds     = 3 // ends of processes of one machine in a day, from which it counts
	faultMachines = 2 // such machines, the least that break the rule
	restartDelay  = time.Second
)

// memoryWatch is how the platform ends a process that exceeds the memory of its machine.
type memoryWatch struct {
	peak  int // MB
	kills int
}

// watchMemory ends the process of a gateway with SIGKILL whenever it exceeds the memory of its
// machine, and starts it again, until it has ended faultEnds times or stop is closed.
func (w *world) watchMemory(g *gateway, stop <-chan struct{}) (m memoryWatch, err error) {
	for m.kills < faultEnds {
		select {
		case <-stop:
			return m, nil
		case <-time.After(20 * time.Millisecond):
		}
		mb := g.anonymousMB()
		m.peak = max(m.peak, mb)
		if mb <= g.memoryMB {
			continue
		}
		w.logf("gateway %s uses %d MB of %d; the platform kills it", g.name, mb, g.memoryMB)
		g.signal(syscall.SIGKILL)
		<-g.exited
		m.kills++
		time.Sleep(restartDelay)
		if err := w.start(g); err != nil {
			return m, err
		}
	}
	return m, nil
}

// watchAll watches several gateways for a time and reports whether the rule Fault was broken.
func (w *world) watchAll(list []*gateway, limit time.Duration, finished <-chan struct{}) (broken bool, err error) {
	stop := make(chan struct{})
	results := make([]memoryWatch, len(list))
	errs := make([]error, len(list))
	var group sync.WaitGroup
	for i, g := range list {
		group.Go(func() { results[i], errs[i] = w.watchMemory(g, stop) })
	}
	watched := make(chan struct{})
	go func() { group.Wait(); close(watched) }()
	select {
	case <-watched:
	case <-finished:
	case <-time.After(limit):
	}
	close(stop)
	<-watched
	machines := 0
	for i, m := range results {
		w.logf("gateway %s ended %d times for its memory; peak %d MB of %d", list[i].name, m.kills, m.peak, list[i].memoryMB)
		if m.kills >= faultEnds {
			machines++
		}
	}
	return machines >= faultMachines, errors.Join(errs...)
}

type object = map[string]any

// putConfig writes a manifest as the operator does.
func (w *world) putConfig(version int, routes []object) {
	value, err := json.Marshal(object{"version": version, "routes": routes, "services": []object{},
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000}})
	if err != nil {
		panic(err)
	}
	w.store.Put("op", "", "config", value)
}

// submission returns the body of a batch job.
func submission(prefix, path string, items, bodyBytes int, tokens int) []byte {
	var list []object
	for n := range items {
		list = append(list, object{"id": fmt.Sprintf("%s%04x", prefix, n), "path": fmt.Sprintf("%s%x", path, n), "tokens": tokens,
			"headers": object{"Model": "m", "Token-Usage": "540,400", "Prompt-Prefix": "9c2e41:300,5d07b8:240"},
			"body":    bytes.Repeat([]byte("b"), bodyBytes)})
	}
	body, err := json.Marshal(object{"requests": list})
	if err != nil {
		panic(err)
	}
	return body
}

// send makes one call on a new channel.
func send(method, address, path, host string, header map[string]string, body []byte, timeout time.Duration) (int, []byte, http.Header, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, response.Header, err
}

type page struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

var cases = map[string]func(w *world) (broken bool, err error){
	"slow-readers": slowReaders,
	"newlines":     newlines,
	"claims":       claims,
	"versions":     versions,
	"new-route":    newRoute,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs are in", dir)
	}
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return exitNotRun
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, store: platformtest.NewStore(), started: time.Now(),
		record: bufio.NewWriter(record)}
	defer w.endAll()
	w.logf("case %s, trouble %v", name, w.trouble)
	broken, err := play(w)
	switch {
	case err != nil:
		w.logf("not run: %v", err)
		fmt.Println(name, "not run:", err)
		return exitNotRun
	case broken:
		w.logf("the rule was broken")
		fmt.Println(name, "the rule was broken")
		return exitBroken
	}
	w.logf("the rule held")
	fmt.Println(name, "the rule held")
	return exitHeld
}

// endAll ends the processes that the case started.
func (w *world) endAll() {
	w.mu.Lock()
	list := w.gateways
	w.mu.Unlock()
	for _, g := range list {
		if !g.hasExited() {
			g.signal(syscall.SIGCONT)
			g.signal(syscall.SIGKILL)
			<-g.exited
		}
		_ = g.log.Close()
	}
}

// replaceSetting replaces a value in the settings of a gateway that has not started yet.
func (w *world) replaceSetting(g *gateway, from, to string) error {
	data, err := os.ReadFile(g.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(g.settings, bytes.ReplaceAll(data, []byte(from), []byte(to)), 0o600)
}
