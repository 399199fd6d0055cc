package daemon

import (
	"bufio"
	"encoding/json"
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

	"github.com/magnoliausher/magnoliausher/platform/platformtest"
)

// changingConfiguration changes the configuration of a deployment and knows the idle limit
// that callers may go by.
type changingConfiguration struct {
	d       *deployment
	version int

	mu     sync.Mutex
	limits []idleLimit
}

type idleLimit struct {
	since time.Time
	limit time.Duration
}

// change puts a configuration with other limits and routes.
func (c *changingConfiguration) change(random *rand.Rand) {
	idle := []time.Duration{time.Second, 2 * time.Second, 4 * time.Second}[random.IntN(3)]
	c.mu.Lock()
	c.limits = append(c.limits, idleLimit{time.Now(), idle})
	c.mu.Unlock()
	var list []map[string]any
	add := func(prefix, kind, service string, more map[string]any) {
		route := map[string]any{"name": strings.Trim(prefix, "/"), "host": "h", "path-prefix": prefix, "kind": kind, "service": service,
			"timeout-ms": 2000 + random.IntN(3000), "target-latency-ms": 300, "max-attempts": 1 + random.IntN(3)}
		for name, value := range more {
			route[name] = value
		}
		list = append(list, route)
	}
	add("/ask/", "stream", "llm", nil)
	add("/resume/", "stream", "llm", map[string]any{"resumable": true})
	add("/status/", "idempotent", "app", nil)
	if random.IntN(2) == 0 {
		add("/extra/", "stream", "llm", nil)
	}
	c.version++
	document, err := json.Marshal(map[string]any{"version": c.version, "routes": list, "limits": map[string]any{
		"max-body-bytes": 100 + random.IntN(4000), "header-timeout-ms": 500 + random.IntN(3000), "idle-timeout-ms": idle.Milliseconds()}})
	if err != nil {
		c.d.t.Error(err)
		return
	}
	c.d.store.Put("op", "", "config", document)
}

// idleLimit returns the lowest limit that was in force lately, since a configuration takes
// a while to reach the gateways.
func (c *changingConfiguration) idleLimit() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	lowest := c.limits[len(c.limits)-1].limit
	for i := len(c.limits) - 1; i > 0 && time.Since(c.limits[i].since) < 3*time.Second; i-- {
		lowest = min(lowest, c.limits[i-1].limit)
	}
	return lowest
}

// keepAliveCaller sends requests on one connection, which it leaves idle for up to four
// fifths of the limit in between.
type keepAliveCaller struct {
	t         *testing.T
	address   string
	random    *rand.Rand
	conn      net.Conn
	responses *bufio.Reader
	sent      time.Time     // of the last request
	limit     time.Duration // for the time after it
}

// call sends a request and reads the answer, which must be whole.
func (c *keepAliveCaller) call(configuration *changingConfiguration) (status int) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			c.t.Error(err)
			return 0
		}
		c.conn, c.responses, c.limit = conn, bufio.NewReader(conn), time.Hour
	}
	id := nextID()
	path := []string{"/ask/x", "/resume/x", "/status/x", "/extra/x"}[c.random.IntN(4)]
	request, err := http.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader(strings.Repeat("x", c.random.IntN(3000))))
	if err != nil {
		c.t.Error(err)
		return 0
	}
	platformtest.PrepareRequest(request, id, "h", 5000)
	last, limit := c.sent, c.limit
	c.sent = time.Now()
	err = request.Write(c.conn)
	mayBeClosed := time.Since(last) >= limit // the caller was late
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.responses, request)
	}
	if err != nil {
		if !mayBeClosed {
			c.t.Errorf("%s %s: no answer, idle for at most %v of %v: %v", id, path, c.sent.Sub(last), limit, err)
		}
		c.close()
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == 200 && path != "/status/x" && string(body) != expectedStream(id, 5) {
		c.t.Errorf("%s %s: status %d, cut after %q: %v", id, path, response.StatusCode, body, err)
	}
	c.limit = configuration.idleLimit()
	if response.Close || err != nil {
		c.close()
	}
	return response.StatusCode
}

func (c *keepAliveCaller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Guards against requests that get neither an answer nor a refusal while idle limits,
// time-outs, limits of bodies and routes change.
func TestEveryRequestIsAnsweredWhileTheConfigurationChanges(t *testing.T) {
	const seed, callers, duration = 42, 40, 9 * time.Second
	d := newDeployment(t, 1)
	random := rand.New(rand.NewPCG(seed, 0))
	configuration := &changingConfiguration{d: d, version: 1}
	configuration.change(random)
	ends := time.Now().Add(duration)
	var statuses [600]atomic.Int64
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			c := &keepAliveCaller{t: t, address: d.gateways[0].settings.Instance.Listen, random: rand.New(rand.NewPCG(seed, uint64(i+1)))}
			defer c.close()
			for time.Now().Before(ends) {
				statuses[c.call(configuration)].Add(1)
				time.Sleep(time.Duration(c.random.Int64N(int64(configuration.idleLimit()) * 4 / 5)))
			}
		})
	}
	for time.Now().Before(ends) {
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
		configuration.change(random)
		if random.IntN(4) == 0 { // a limit stays for long enough to be used
			time.Sleep(2 * time.Second)
		}
	}
	group.Wait()
	report := ""
	for status := range statuses {
		if n := statuses[status].Load(); n > 0 {
			report += fmt.Sprintf(" %d: %d", status, n)
		}
	}
	t.Log("answers by status:", report)
	if statuses[200].Load() == 0 || statuses[404].Load() == 0 || statuses[413].Load() == 0 {
		t.Error("not every kind of answer was given:", report)
	}
}

// Guards against a request that gets neither an answer nor a refusal because its route, a
// limit, a time-out or the need for a key changed while it was sent.
func TestConfigurationChangesWithinARequest(t *testing.T) {
	limits := map[string]any{"max-body-bytes": 1 << 20, "max-header-bytes": 8000, "header-timeout-ms": 5000, "idle-timeout-ms": 5000}
	with := func(name string, value any) map[string]any {
		changed := map[string]any{name: value}
		for n, v := range limits {
			if n != name {
				changed[n] = v
			}
		}
		return changed
	}
	routeList := func(timeout, quota int) []map[string]any {
		var list []map[string]any
		for _, r := range routes {
			list = append(list, map[string]any{"name": strings.Trim(r.Prefix, "/"), "host": "h", "path-prefix": r.Prefix, "kind": r.Kind,
				"service": r.Service, "timeout-ms": timeout, "target-latency-ms": 300, "max-attempts": 2, "resumable": r.Resumable, "cap": quota})
		}
		return list
	}
	all := routeList(5000, 100_000)
	otherService := routeList(5000, 100_000)
	for _, r := range otherService {
		r["service"] = "none"
	}
	for name, changed := range map[string]map[string]any{
		"no routes":              {"limits": limits, "routes": []any{}},
		"lower body limit":       {"limits": with("max-body-bytes", 10), "routes": all},
		"lower header limit":     {"limits": with("max-header-bytes", 10), "routes": all},
		"lower time for heads":   {"limits": with("header-timeout-ms", 100), "routes": all},
		"lower idle limit":       {"limits": with("idle-timeout-ms", 100), "routes": all},
		"lower time-out":         {"limits": limits, "routes": routeList(100, 100_000)},
		"no quota":               {"limits": limits, "routes": routeList(5000, 1)},
		"service without engine": {"limits": limits, "routes": otherService},
		"keys":                   {"limits": limits, "routes": all, "tenants": []platformtest.Organisation{{Name: "o", Keys: []string{"k"}}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			put := func(version int, configuration map[string]any) {
				configuration["version"] = version
				document, err := json.Marshal(configuration)
				if err != nil {
					t.Error(err)
				}
				d.store.Put("op", "", "config", document)
				d.eventually("configuration in force", func() bool {
					return d.gateways[0].holder.View().Configuration.Version == uint64(version)
				})
			}
			put(2, map[string]any{"limits": limits, "routes": all})
			type sent struct {
				what string
				conn net.Conn
				rest string
			}
			var requests []sent
			for _, path := range []string{"/ask/x", "/resume/x", "/status/x", "/notes/x"} {
				body := platformtest.EncodeJob(nextID(), "/notes/x", 3, 10)
				request, err := http.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader(body))
				if err != nil {
					t.Fatal(err)
				}
				platformtest.PrepareRequest(request, nextID(), "h", 5000)
				var whole strings.Builder
				if err := request.Write(&whole); err != nil {
					t.Fatal(err)
				}
				head := strings.Index(whole.String(), "\r\n\r\n") + 4
				for part, n := range map[string]int{"head": head / 2, "body": head + 5, "last byte": whole.Len() - 1} {
					conn, err := net.Dial("tcp", d.gateways[0].settings.Instance.Listen)
					if err != nil {
						t.Fatal(err)
					}
					defer conn.Close()
					if _, err := io.WriteString(conn, whole.String()[:n]); err != nil {
						t.Fatal(err)
					}
					requests = append(requests, sent{path + " changed within the " + part, conn, whole.String()[n:]})
				}
			}
			time.Sleep(200 * time.Millisecond) // until the parts were read
			put(3, changed)
			time.Sleep(1300 * time.Millisecond) // two checks of time limits
			for _, r := range requests {
				_, err := io.WriteString(r.conn, r.rest)
				var response *http.Response
				if err == nil {
					response, err = http.ReadResponse(bufio.NewReader(r.conn), nil)
				}
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
				if err != nil {
					t.Errorf("%s: %v", r.what, err)
					continue
				}
			}
		})
	}
}
