package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/metric"
)

// ConfigStaleAfter is the time without a confirmation after which the configuration may
// be stale. A change takes effect everywhere within this time.
const ConfigStaleAfter = 6 * time.Second

// readiness is the body of /readyz.
type readiness struct {
	Ready         bool           `json:"ready"`
	Reasons       []string       `json:"reasons,omitempty"` // why the entry is not ready
	Details       []string       `json:"details,omitempty"` // problems that do not affect readiness
	ConfigVersion uint64         `json:"config_version"`
	Links         []serviceLinks `json:"links,omitempty"` // in the order of the configuration's services
}

// serviceLinks counts the agents of a service that the entry is linked to.
type serviceLinks struct {
	Service   string `json:"service"`
	Linked    int    `json:"linked"`
	Connected int    `json:"connected"` // linked agents that were heard from recently
}

func (e *Entry) countLinks(service string) serviceLinks {
	upstreams := e.config.Runner.Upstreams(service)
	n := serviceLinks{Service: service, Linked: len(upstreams)}
	for i := range upstreams {
		if upstreams[i].Connected {
			n.Connected++
		}
	}
	return n
}

// countConnectedLinks counts the connected links of all services.
func (e *Entry) countConnectedLinks() int {
	ix := e.config.Holder.Current()
	if ix == nil {
		return 0
	}
	connected := 0
	for i := range ix.Document.Services {
		connected += e.countLinks(ix.Document.Services[i].Name).Connected
	}
	return connected
}

// readiness reports whether the entry should receive requests.
func (e *Entry) readiness(now time.Time) readiness {
	r := readiness{ConfigVersion: e.config.Holder.Version()}
	if e.drain.active() {
		r.Reasons = append(r.Reasons, "draining")
	}
	ix := e.config.Holder.Current()
	if ix == nil {
		r.Reasons = append(r.Reasons, "no configuration")
	}
	if e.configPossiblyStale(now) {
		r.Details = append(r.Details, "configuration is possibly stale")
	}
	if ix != nil {
		e.addServiceLinks(&r, ix.Document.Services)
	}
	r.Ready = len(r.Reasons) == 0
	return r
}

// addServiceLinks adds the link counts and reports services without an upstream. An
// entry that has had a link stays ready without any: if all upstreams are lost, every
// entry is affected, and none would be left to serve callers.
func (e *Entry) addServiceLinks(r *readiness, services []contract.Service) {
	for i := range services {
		name := services[i].Name
		n := e.countLinks(name)
		r.Links = append(r.Links, n)
		if n.Linked > 0 {
			e.everLinked.Store(true)
			continue
		}
		r.Details = append(r.Details, "no upstream linked for service "+name)
	}
	if !e.everLinked.Load() && len(services) > 0 {
		r.Reasons = append(r.Reasons, "no upstream linked yet")
	}
}

// configPossiblyStale reports whether no source has confirmed the configuration within
// ConfigStaleAfter.
func (e *Entry) configPossiblyStale(now time.Time) bool {
	return e.config.ConfigConfirmedAt != nil && now.Sub(e.config.ConfigConfirmedAt()) > ConfigStaleAfter
}

func (e *Entry) serveReady(w http.ResponseWriter) {
	r := e.readiness(time.Now())
	status := http.StatusOK
	if !r.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, r)
}

func serveHealth(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, struct {
		OK bool `json:"ok"`
	}{true})
}

func serveMetrics(w http.ResponseWriter, r *http.Request) {
	metric.Handler().ServeHTTP(w, r)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}
