package settings

import (
	"os"
	"time"

	"github.com/gravitational/trace"
)

// RoleGateway is the role of a process that sends straight to upstreams.
const RoleGateway = "gateway"

// Gateway is the settings file of a gateway.
type Gateway struct {
	Instance Instance // Listen: HTTP for callers; PeerListen: datagrams and calls of other gateways
	Log      Log

	ReadyListen   string   // readiness for the load balancer
	MetricsListen string   // counters and histograms; empty for none
	Seeds         []string // peer addresses that are told of this process at start
	StoreAddress  string   // IP:port of the platform's store
	MemoryLimitMB int      // memory that the process may use; 0 for no limit
	ShutdownGrace time.Duration
	JobRetention  time.Duration // closed jobs stay readable for this long after their creation
}

// LoadGateway reads a gateway's settings; the error is a finding.List if the
// file can be read but has problems.
func LoadGateway(file string) (*Gateway, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseGateway(file, data)
}

// ParseGateway reads a gateway's settings from memory.
func ParseGateway(file string, data []byte) (*Gateway, error) {
	r := newReader(file, data)
	g := &Gateway{
		Instance:      r.instance(RoleGateway),
		Log:           r.log(),
		ReadyListen:   r.address("instance", "ready_listen", true),
		MetricsListen: r.address("instance", "metrics_listen", false),
		Seeds:         r.addresses("instance", "seeds"),
		StoreAddress:  r.address("platform", "address", true),
		MemoryLimitMB: r.integer("limits", "memory_mb", 0, 0, 1<<20),
		ShutdownGrace: r.duration("timeouts", "grace", 8*time.Second, time.Second, maxTimeout),
		JobRetention:  r.duration("timeouts", "keep_jobs", 2*time.Minute, time.Second, 30*24*time.Hour),
	}
	g.Instance.PeerListen = r.address("instance", "peer_listen", true)
	return g, r.finish()
}
