// Package settings reads the INI settings files of the daemons. All problems of a
// file are reported together, each with its line.
package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/finding"
)

// Instance identifies the process and holds its addresses.
type Instance struct {
	Role       string // entry, agent or gateway; must match the command that reads the file
	ID         string
	DataCentre string
	Listen     string // entry: HTTP for callers and operators; agent: Connect RPC server
	PeerListen string // entry: Connect RPC server for peers; empty for none
}

// Platform configures the connection to the platform.
type Platform struct {
	Address         string // IP:port
	Timeout         time.Duration
	ReadsPerSecond  int // limit of this process
	WritesPerSecond int // limit of this process
}

// TLS names the PEM files for mutual TLS between the processes. The zero value
// means TCP without TLS.
type TLS struct {
	CertFile string
	KeyFile  string
	CAFile   string // CA certificates that sign the peers' certificates
}

// Log configures the JSON log lines on standard error.
type Log struct {
	Level string // debug, info, warn, error
}

// Entry holds the settings of an entry.
type Entry struct {
	Instance Instance
	Platform Platform
	TLS      TLS
	Log      Log

	MemoryLimitMB   int // memory limit of the process; 0 for no limit
	MaxDescriptors  int // that the process may open; 0 for no limit
	MaxBodyBytes    int64
	MaxBatchBytes   int64 // limit for batch items and results held in memory
	LinksPerService int   // number of agents of one service that the entry connects to
	DrainTimeout    time.Duration
	ProgressTimeout time.Duration // limit for the time without progress within an attempt
	AcceptTimeout   time.Duration // a repeatable attempt that is not accepted within this time moves to another agent
	Peers           []string      // entries or agents to fetch the configuration from at start
}

// Agent holds the settings of an agent.
type Agent struct {
	Instance Instance
	Platform Platform // only Address and Timeout are read; without an address no orders are sent
	TLS      TLS
	Log      Log

	MemoryLimitMB   int    // memory limit of the process; 0 for no limit
	MaxDescriptors  int    // that the process may open; 0 for no limit
	UpstreamAddress string // IP:port
	Service         string
	Kind            string // engine or plain
	Slots           int    // sequences (engine) or requests (plain) that run concurrently
	QueueLength     int    // maximum number of waiting online attempts
	DrainTimeout    time.Duration
	ProgressTimeout time.Duration
	HealthInterval  time.Duration
}

// Roles of processes, in addition to RoleGateway.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Check validates the settings file of any role and returns notes on a valid one. The
// role is read from the file's [instance] section and defaults to entry. If the file can
// be read but is not valid, the error is a finding.List.
func Check(file string) (notes []string, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	r := newReader(file, data)
	switch role, _ := r.value("instance", "role"); role {
	case RoleAgent:
		var a *Agent
		if a, err = ParseAgent(file, data); err == nil {
			notes = a.Notes()
		}
	case RoleGateway:
		var g *Gateway
		if g, err = ParseGateway(file, data); err == nil {
			notes = g.Notes()
		}
	default:
		var e *Entry
		if e, err = ParseEntry(file, data); err == nil {
			notes = e.Notes()
		}
	}
	return notes, err
}

const (
	minTimeout = 10 * time.Millisecond
	maxTimeout = 10 * time.Minute
)

// LoadEntry reads an entry's settings from a file. If the file can be read but is
// not valid, the error is a finding.List.
func LoadEntry(file string) (*Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseEntry(file, data)
}

// ParseEntry parses an entry's settings. The error is a finding.List; file is the
// file name that the findings give.
func ParseEntry(file string, data []byte) (*Entry, error) {
	r := newReader(file, data)
	e := &Entry{
		Instance:        r.instance(RoleEntry),
		TLS:             r.tls(),
		Log:             r.log(),
		MemoryLimitMB:   r.memoryLimit(),
		MaxDescriptors:  r.descriptorLimit(),
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

// LoadAgent reads an agent's settings from a file. If the file can be read but is
// not valid, the error is a finding.List.
func LoadAgent(file string) (*Agent, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseAgent(file, data)
}

// ParseAgent parses an agent's settings. The error is a finding.List; file is the
// file name that the findings give.
func ParseAgent(file string, data []byte) (*Agent, error) {
	r := newReader(file, data)
	a := &Agent{
		Instance:        r.instance(RoleAgent),
		TLS:             r.tls(),
		Log:             r.log(),
		MemoryLimitMB:   r.memoryLimit(),
		MaxDescriptors:  r.descriptorLimit(),
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
			r.addFinding(keyRef{"tls", f.key}, "", "is required when another key of the section is set")
		}
	}
	return t
}

// Config loads the files and returns a configuration for mutual TLS that serves
// both servers and clients, or nil if TLS is off. The peer's certificate must be
// signed by the CA. Peers are addressed by IP address, so certificates must contain
// the IP address.
func (t TLS) Config() (*tls.Config, error) {
	if t == (TLS{}) {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, trace.Wrap(err, "certificate %s", t.CertFile)
	}
	caCerts, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caCerts) {
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
