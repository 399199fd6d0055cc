package keys

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"testing"
	"time"
)

func serve(t *testing.T, config *tls.Config) string {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte("x")) // forces the handshake
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

func configFor(t *testing.T, ca, own CertKeyPair) *tls.Config {
	t.Helper()
	pair, err := tls.X509KeyPair(own.Certificate, own.Key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca.Certificate)
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}
}

// Guards against accepting a peer whose certificate is signed by another CA.
func TestPeerOfAnotherCAIsRejected(t *testing.T) {
	local := []net.IP{net.IPv4(127, 0, 0, 1)}
	ca, err := NewCA(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	otherCA, err := NewCA(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	own, err := NewInstanceCertificate(ca, "entry-1", local, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := NewInstanceCertificate(otherCA, "entry-1", local, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	address := serve(t, configFor(t, ca, own))
	cases := []struct {
		name string
		pair CertKeyPair
		ok   bool
	}{{"own", own, true}, {"foreign", foreign, false}}
	for _, c := range cases {
		conn, err := tls.Dial("tcp", address, configFor(t, ca, c.pair))
		if err == nil {
			_, err = conn.Read(make([]byte, 1)) // in TLS 1.3 a rejected client gets the error at its first read
			_ = conn.Close()
		}
		if (err == nil) != c.ok {
			t.Errorf("%s certificate: error %v", c.name, err)
		}
	}
}

func TestCallerKeysDiffer(t *testing.T) {
	if a, b := NewCallerKey(), NewCallerKey(); a == b || len(a) < 40 {
		t.Fatalf("keys %q and %q", a, b)
	}
}
