package settings

import (
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/hedge"
	"github.com/magnoliausher/magnoliausher/intake"
)

// RoleGateway is the role of a process that sends requests directly to upstreams.
const RoleGateway = "gateway"

// Gateway holds the settings of a gateway.
type Gateway struct {
	Hash     uint64   // of the text of the file
	Instance Instance // Listen is HTTP for callers; PeerListen is for datagrams and calls from other gateways
	Log      Log

	ReadyListen   string   // address of the readiness check for the load balancer
	MetricsListen string   // address of the metrics endpoint; empty for none
	Seeds         []string // peer addresses that this process announces itself to at start
	StoreAddress  string   // IP:port of the platform's store
	MemoryLimitMB int      // memory limit of the process; 0 for no limit
	// MaxDescriptors is the number of descriptors that the process may open; 0 for no limit.
	MaxDescriptors int
	ShutdownGrace  time.Duration
	// UnreadTimeout is how long a caller may take nothing of an answer that its upstream sends.
	UnreadTimeout time.Duration
	JobRetention  time.Duration // how long after their creation closed jobs remain readable
	Hedging       hedge.Policy
	BySpeed       bool // placement takes the speeds of upstreams into account
}

// LoadGateway reads a gateway's settings from a file. If the file can be read but
// is not valid, the error is a finding.List.
func LoadGateway(file string) (*Gateway, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseGateway(file, data)
}

// ParseGateway parses a gateway's settings. The error is a finding.List; file is
// the file name that the findings give.
func ParseGateway(file string, data []byte) (*Gateway, error) {
	r := newReader(file, data)
	g := &Gateway{
		Hash:           xxhash.Sum64(data),
		Instance:       r.instance(RoleGateway),
		Log:            r.log(),
		ReadyListen:    r.address("instance", "ready_listen", true),
		MetricsListen:  r.address("instance", "metrics_listen", false),
		Seeds:          r.addresses("instance", "seeds"),
		StoreAddress:   r.address("platform", "address", true),
		MemoryLimitMB:  r.memoryLimit(),
		MaxDescriptors: r.descriptorLimit(),
		ShutdownGrace:  r.duration("timeouts", "grace", 8*time.Second, time.Second, maxTimeout),
		UnreadTimeout:  r.duration("timeouts", "unread", intake.DefaultStallTimeout, time.Second, maxTimeout),
		JobRetention:   r.duration("timeouts", "keep_jobs", 2*time.Minute, time.Second, 30*24*time.Hour),
		Hedging: hedge.Policy{
			Percent:        r.integer("hedging", "percent", 0, 0, 50),
			Quantile:       r.integer("hedging", "quantile", 95, 50, 99),
			Floor:          r.duration("hedging", "floor", 20*time.Millisecond, time.Millisecond, 10*time.Second),
			MaxLoadPercent: r.integer("hedging", "max_load_percent", 80, 1, 100),
		},
	}
	g.BySpeed = r.choice("placement", "by_speed", "off", "on", "off") == "on"
	g.Instance.PeerListen = r.address("instance", "peer_listen", true)
	return g, r.finish()
}
