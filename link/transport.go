package link

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
)

// Timeouts and windows of connections between instances.
const (
	dialTimeout = time.Second
	// A connection in use that receives no frame for its sendPing time is
	// pinged, and closed when the answer takes longer than pingTimeout.
	// Control streams carry a message every 2 s, so they are never pinged.
	sendPingControl = 5 * time.Second
	sendPingOnline  = 2 * time.Second
	sendPingBatch   = 5 * time.Second
	pingTimeout     = 1500 * time.Millisecond
	// writeTimeout closes a connection whose socket accepts no bytes, which
	// would block the sender of a control stream.
	writeTimeout = 5 * time.Second
	// idleTimeout closes unused online and batch connections, which ends their pings.
	idleTimeout = 60 * time.Second
	// The windows cover the bandwidth-delay product between regions (1 Gbit/s
	// times 30 ms); net/http rejects 4 MiB and more.
	windowPerConnection = 4<<20 - 1
	windowPerStream     = 1 << 20
	// The control connection has one stream of small messages.
	windowControl = 1 << 20
	// maxStreams exceeds the attempts that all entries run on one agent.
	maxStreams = 4096
	// sendPingServer detects silent entries; agents cannot reconnect to them.
	sendPingServer    = 5 * time.Second
	readHeaderTimeout = 10 * time.Second
)

// class selects one of the separate TCP connections of an entry-agent pair, so
// that a full flow-control window or a lost packet on one does not delay the
// others.
type class int

const (
	classControl class = iota
	classOnline
	classBatch
	classCount
)

// connStats counts the bytes of connections and records when the last one
// arrived.
type connStats struct {
	read, written atomic.Int64
	lastRead      atomic.Int64 // Unix nanoseconds, 0 before the first byte
}

// receivedWithin reports whether a byte arrived within the last d.
func (t *connStats) receivedWithin(d time.Duration, now time.Time) bool {
	last := t.lastRead.Load()
	return last != 0 && now.UnixNano()-last <= int64(d)
}

// countingConn adds the bytes that it reads and writes to its stats.
type countingConn struct {
	net.Conn
	stats *connStats
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.stats.read.Add(int64(n))
		c.stats.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.written.Add(int64(n))
	return n, err
}

// dialer opens the TCP connections of links; tests replace it.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

func defaultDialer() dialer {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1} // HTTP/2 pings replace TCP keep-alive
	return d.DialContext
}

// newHTTPClient returns a client with its own connections. HTTP/2 is used
// without TLS if config is nil.
func newHTTPClient(c class, config *tls.Config, dial dialer, stats *connStats) *http.Client {
	transport := &http.Transport{
		Protocols:           protocols(config),
		TLSClientConfig:     config.Clone(),
		TLSHandshakeTimeout: 2 * dialTimeout,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		HTTP2:               clientHTTP2(c),
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, stats: stats}, nil
		},
	}
	return &http.Client{Transport: transport}
}

func protocols(config *tls.Config) *http.Protocols {
	p := new(http.Protocols)
	if config == nil {
		p.SetUnencryptedHTTP2(true)
		return p
	}
	p.SetHTTP2(true)
	return p
}

func clientHTTP2(c class) *http.HTTP2Config {
	h := &http.HTTP2Config{
		StrictMaxConcurrentRequests:   true,
		MaxReceiveBufferPerConnection: windowPerConnection,
		MaxReceiveBufferPerStream:     windowPerStream,
		PingTimeout:                   pingTimeout,
		WriteByteTimeout:              writeTimeout,
	}
	switch c {
	case classControl:
		h.SendPingTimeout = sendPingControl
		h.MaxReceiveBufferPerConnection = windowControl
		h.MaxReceiveBufferPerStream = windowControl
	case classOnline:
		h.SendPingTimeout = sendPingOnline
	default:
		h.SendPingTimeout = sendPingBatch
	}
	return h
}

// clientOptions disables compression: control messages are shorter than a
// compressed frame, and request bodies are passed on unchanged.
func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithAcceptCompression("gzip", nil, nil)}
}

// HandlerOptions returns the options for Agent and Peer handlers, which
// disable compression.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}
}

// NewServer returns the server for Agent and Peer handlers. With a nil config
// it uses HTTP/2 without TLS; otherwise config must require client
// certificates.
func NewServer(handler http.Handler, config *tls.Config) (*http.Server, error) {
	if config != nil && config.ClientAuth != tls.RequireAndVerifyClientCert {
		return nil, errors.New("TLS between instances must verify client certificates")
	}
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols(config),
		TLSConfig:         config.Clone(),
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: windowPerConnection,
			MaxReceiveBufferPerStream:     windowPerStream,
			SendPingTimeout:               sendPingServer,
			PingTimeout:                   pingTimeout,
			WriteByteTimeout:              writeTimeout,
		},
	}, nil
}

// Serve accepts connections for a server created by NewServer, with TLS if it
// is configured. It returns http.ErrServerClosed after Shutdown or Close.
func Serve(server *http.Server, listener net.Listener) error {
	if server.TLSConfig == nil {
		return server.Serve(listener)
	}
	return server.ServeTLS(listener, "", "")
}

// baseURL returns the root URL of an instance's services.
func baseURL(address string, config *tls.Config) string {
	if config == nil {
		return "http://" + address
	}
	return "https://" + address
}
