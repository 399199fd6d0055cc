// Command standin runs one case of the review: it starts the gateways of the deploy file as
// separate processes, plays clients, engines and the platform's store itself, and checks one
// rule by what these see. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
//
//	standin CASE DIRECTORY
//
// It writes DIRECTORY/record.txt. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns what broke the rule; nothing means that it held.
var cases = map[string]func(*world) []string{
	"resume":    resume,
	"last-slot": lastSlot,
	"deadly":    deadly,
	"backlog":   backlog,
	"handover":  handover,
	"stale":     stale,
}

// maxDuration ends a case that hangs.
const maxDuration = 110 * time.Second

// world is what a case runs in.
type world struct {
	trouble bool
	root    string // of the repository
	temp    string
	store   *store
	engines []*engine
	routes  []map[string]any
	version int

	mu       sync.Mutex
	record   *os.File
	started  time.Time
	gateways []*gateway
}

var current *world

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY")
		os.Exit(2)
	}
	directory, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	current = w
	if w.record, err = os.Create(filepath.Join(directory, "record.txt")); err != nil {
		cannotRun("%v", err)
	}
	if w.root, err = os.Getwd(); err != nil {
		cannotRun("%v", err)
	}
	if w.temp, err = os.MkdirTemp("", "review-"); err != nil {
		cannotRun("%v", err)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() { cannotRun("the case was ended by the signal %v", <-interrupted) }()
	time.AfterFunc(maxDuration, func() { cannotRun("the case took longer than %v", maxDuration) })
	w.store = newStore()
	w.log("case %s, trouble %v", os.Args[1], w.trouble)
	broken := cases[os.Args[1]](w)
	for _, b := range broken {
		w.log("BROKEN: %s", b)
	}
	w.log("%d breaks of the rule", len(broken))
	w.end()
	if len(broken) > 0 {
		os.Exit(1)
	}
}

// log writes a line to the record.
func (w *world) log(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record != nil {
		fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, arguments...))
	}
}

// end kills all processes that the case started and removes its temporary files.
func (w *world) end() {
	for _, g := range w.gateways {
		g.signal(syscall.SIGCONT)
		g.kill()
	}
	_ = os.RemoveAll(w.temp)
	_ = w.record.Close()
}

// cannotRun ends a case that could not run.
func cannotRun(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", arguments...)
	if current != nil {
		current.log("COULD NOT RUN: "+format, arguments...)
		current.end()
	}
	os.Exit(2)
}

// configure writes the next version of the manifest to the store.
func (w *world) configure(routes ...map[string]any) {
	w.version += 3
	services := []map[string]any{}
	seen := map[any]bool{}
	for _, r := range routes {
		if !seen[r["service"]] {
			seen[r["service"]] = true
			services = append(services, map[string]any{"name": r["service"], "health-path": "/health", "max-conns": 150, "protocol": "h1", "tls": false})
		}
	}
	w.store.put("op", "config", map[string]any{"version": w.version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
	w.log("operator: manifest %d with %d routes confirmed", w.version, len(routes))
}
