// Package settings reads the INI files of the daemons. All problems of a file
// are reported together, with their place.
package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/finding"
)

// Instance says who and where the process is.
type Instance struct {
	Role       string // entry or agent; must fit the command that reads the file
	ID         string
	DataCentre string
	Listen     string // entry: HTTP for callers and operators; agent: connect server
	PeerListen string // entry: connect server for peers; empty for none
}

// Platform says how the platform is reached.
type Platform struct {
	Address         string // IP:port
	Timeout         time.Duration
	ReadsPerSecond  int // limit of this process
	WritesPerSecond int // limit of this process
}

// TLS names the PEM files for mutual TLS between the processes. Empty: plain TCP.
type TLS struct {
	CertFile string
	KeyFile  string
	CAFile   string // certificates that sign the peers' ones
}

// Log configures the JSON log lines on standard error.
type Log struct {
	Level string // debug, info, warn, error
}

// Entry is the settings file of an entry.
type Entry struct {
	Instance Instance
	Platform Platform
	TLS      TLS
	Log      Log

	MaxBodyBytes    int64
	MaxBatchBytes   int64 // bound of batch items and results held in memory
	LinksPerService int   // agents of one service that the entry links to
	DrainTimeout    time.Duration
	ProgressTimeout time.Duration // longest silence within an attempt
	AcceptTimeout   time.Duration // a repeatable attempt not accepted in this time is moved
	Peers           []string      // entries or agents asked for the configuration at start
}

// Agent is the settings file of an agent.
type Agent struct {
	Instance Instance
	Platform Platform // only address and timeout; without an address no orders are sent
	TLS      TLS
	Log      Log

	UpstreamAddress string // IP:port
	Service         string
	Kind            string // engine or plain
	Slots           int    // sequences (engine) or requests (plain) that run at once
	QueueLength     int    // online attempts that may wait
	DrainTimeout    time.Duration
	ProgressTimeout time.Duration
	HealthInterval  time.Duration
}

// Roles that a settings file can be for.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Check reads a file of any role, which its [instance] role names, and
// returns a finding.List if it has problems.
func Check(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	r := newReader(file, data)
	switch role, _ := r.value("instance", "role"); role {
	case RoleAgent:
		_, err = ParseAgent(file, data)
	case RoleGateway:
		_, err = ParseGateway(file, data)
	default:
		_, err = ParseEntry(file, data)
	}
	return err
}

const (
	minTimeout = 10 * time.Millisecond
	maxTimeout = 10 * time.Minute
)

// LoadEntry reads an entry's settings; the error is a finding.List if the file
// can be read but has problems.
func LoadEntry(file string) (*Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseEntry(file, data)
}

// ParseEntry reads an entry's settings from memory.
func ParseEntry(file string, data []byte) (*Entry, error) {
	r := newReader(file, data)
	e := &Entry{
		Instance:        r.instance(RoleEntry),
		TLS:             r.tls(),
		Log:             r.log(),
		MaxBodyBytes:    int64(r.integer("limits", "max_body_bytes", 4<<20, 1<<10, 1<<30)),
		MaxBatchBytes:   int64(r.integer("limits", "batch_bytes", 64<<20, 1<<20, 8<<30)),
		LinksPerService: r.integer("limits", "links_per_service", 32, 2, 1000),
		DrainTimeout:    r.duration("timeouts", "drain", 60*time.Second, minTimeout, maxTimeout),
		ProgressTimeout: r.duration("timeouts", "progress", 5*time.Second, minTimeout, maxTimeout),
		AcceptTimeout:   r.duration("timeouts", "accept", 250*time.Millisecond, minTimeout, maxTimeout),
		Peers:           r.addresses("instance", "peers"),
	}
	e.Instance.PeerListen = r.address("instance", "peer_listen", false)
	e.Platform = Platform{
		Address:         r.address("platform", "address", true),
		Timeout:         r.duration("platform", "timeout", 2*time.Second, minTimeout, maxTimeout),
		ReadsPerSecond:  r.integer("platform", "reads_per_second", 50, 1, 2000),
		WritesPerSecond: r.integer("platform", "writes_per_second", 50, 1, 1000),
	}
	return e, r.finish()
}

// LoadAgent reads an agent's settings; the error is a finding.List if the file
// can be read but has problems.
func LoadAgent(file string) (*Agent, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseAgent(file, data)
}

// ParseAgent reads an agent's settings from memory.
func ParseAgent(file string, data []byte) (*Agent, error) {
	r := newReader(file, data)
	a := &Agent{
		Instance:        r.instance(RoleAgent),
		TLS:             r.tls(),
		Log:             r.log(),
		UpstreamAddress: r.address("upstream", "address", true),
		Service:         r.text("upstream", "service", "", true),
		Kind:            r.choice("upstream", "kind", "engine", "engine", "plain"),
		Slots:           r.integer("upstream", "slots", 64, 1, 100_000),
		QueueLength:     r.integer("limits", "queue", 256, 0, 100_000),
		DrainTimeout:    r.duration("timeouts", "drain", 60*time.Second, minTimeout, maxTimeout),
		ProgressTimeout: r.duration("timeouts", "progress", 5*time.Second, minTimeout, maxTimeout),
		HealthInterval:  r.duration("timeouts", "health_interval", time.Second, minTimeout, maxTimeout),
		Platform: Platform{
			Address: r.address("platform", "address", false),
			Timeout: r.duration("platform", "timeout", 2*time.Second, minTimeout, maxTimeout),
		},
	}
	return a, r.finish()
}

func (r *reader) instance(role string) Instance {
	return Instance{
		Role:       r.choice("instance", "role", role, role),
		ID:         r.text("instance", "id", "", true),
		DataCentre: r.text("instance", "data_centre", "", true),
		Listen:     r.address("instance", "listen", true),
	}
}

func (r *reader) log() Log {
	return Log{Level: r.choice("log", "level", "info", "debug", "info", "warn", "error")}
}

func (r *reader) tls() TLS {
	t := TLS{
		CertFile: r.text("tls", "certificate", "", false),
		KeyFile:  r.text("tls", "key", "", false),
		CAFile:   r.text("tls", "authority", "", false),
	}
	files := []struct{ key, value string }{
		{"certificate", t.CertFile}, {"key", t.KeyFile}, {"authority", t.CAFile},
	}
	for _, f := range files {
		if f.value == "" && t != (TLS{}) {
			r.add(place{"tls", f.key}, "", "is required when another key of the section is set")
		}
	}
	return t
}

// Config loads the files into a configuration for mutual TLS, for servers and
// clients alike, or returns nil when TLS is off. The peer's certificate must be
// signed by the authority; peers are IP addresses, which the certificates name.
func (t TLS) Config() (*tls.Config, error) {
	if t == (TLS{}) {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, trace.Wrap(err, "certificate %s", t.CertFile)
	}
	authority, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, finding.List{{File: t.CAFile, Reason: "no certificate in PEM form"}}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
