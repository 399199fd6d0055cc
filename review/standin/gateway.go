package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is one process of the role "gateway" of the deploy file.
type gateway struct {
	w       *world
	name    string
	front   string // address for clients
	ready   string
	control string
	file    string // settings
	process *exec.Cmd
	exited  chan struct{}
}

// startGateways starts n gateways in zones a, b, ... and waits until they are ready.
func (w *world) startGateways(n int) []*gateway {
	for i := range n {
		g := &gateway{w: w, name: fmt.Sprintf("front-%c-1", 'a'+i), front: freePort(), ready: freePort(), control: freePort()}
		w.gateways = append(w.gateways, g)
	}
	var seeds []string
	for _, g := range w.gateways {
		seeds = append(seeds, g.control)
	}
	for i, g := range w.gateways {
		g.file = filepath.Join(w.temp, g.name+".ini")
		settings := fmt.Sprintf("[instance]\nrole = gateway\nid = %s\ndata_centre = zone-%c\nlisten = %s\nready_listen = %s\npeer_listen = %s\nmetrics_listen = %s\nseeds = %s\n\n"+
			"[platform]\naddress = %s\n\n[limits]\nmemory_mb = 314\n\n[timeouts]\ngrace = 8s\nkeep_jobs = 120s\n",
			g.name, 'a'+i, g.front, g.ready, g.control, freePort(), strings.Join(seeds, ","), w.store.address)
		if err := os.WriteFile(g.file, []byte(settings), 0o600); err != nil {
			cannotRun("%v", err)
		}
		g.start()
	}
	for _, g := range w.gateways {
		g.awaitReady()
	}
	time.Sleep(time.Second) // the gateways hear of each other
	return w.gateways
}

// usedPorts holds the ports handed out, since a freed one may be handed out again.
var usedPorts = map[string]bool{}

func freePort() string {
	for range 100 {
		l := listen()
		address := l.Addr().String()
		_ = l.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = udp.Close()
		if !usedPorts[address] {
			usedPorts[address] = true
			return address
		}
	}
	cannotRun("no free port")
	return ""
}

// start runs the command of the deploy file.
func (g *gateway) start() {
	output, err := os.OpenFile(filepath.Join(g.w.temp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer output.Close()
	g.process = exec.Command(filepath.Join(g.w.root, "target/magnoliausher"), "gateway")
	g.process.Dir = g.w.root
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "MAGNOLIAUSHER_NODE_FILE=" + g.file}
	g.process.Stdout, g.process.Stderr = output, output
	if err := g.process.Start(); err != nil {
		cannotRun("starting a gateway: %v", err)
	}
	exited, process := make(chan struct{}), g.process
	g.exited = exited
	go func() {
		err := process.Wait()
		g.w.log("%s: process ended: %v", g.name, err)
		close(exited)
	}()
	g.w.log("%s: process started, clients at %s", g.name, g.front)
}

func (g *gateway) awaitReady() {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + g.ready + "/magnoliausher/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	log, _ := os.ReadFile(filepath.Join(g.w.temp, g.name+".log"))
	cannotRun("%s is not ready; its log: %s", g.name, log)
}

func (g *gateway) signal(s syscall.Signal) {
	if g.process != nil && g.process.Process != nil {
		_ = g.process.Process.Signal(s)
	}
}

func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	if g.exited != nil {
		<-g.exited
	}
}
