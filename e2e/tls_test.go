package e2e

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/keys"
	standin "github.com/magnoliausher/magnoliausher/standin/platform"
	"github.com/magnoliausher/magnoliausher/storage"
)

// tlsSettings writes the certificates of an instance and returns the [tls] section
// of its settings.
func tlsSettings(t *testing.T, authority keys.CertKeyPair, id string) string {
	t.Helper()
	pair, err := keys.NewInstanceCertificate(authority, id, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	files := map[string][]byte{"instance.crt": pair.Certificate, "instance.key": pair.Key, "authority.crt": authority.Certificate}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(directory, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return fmt.Sprintf("[tls]\ncertificate=%[1]s/instance.crt\nkey=%[1]s/instance.key\nauthority=%[1]s/authority.crt\n", directory)
}

// Guards against links that do not work with the TLS files of the settings, and
// against an agent that accepts a client without a certificate of the authority.
func TestMutualTLS(t *testing.T) {
	authority, err := keys.NewCA(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, platform: standin.New(standin.Config{})}
	doc := &contract.Document{
		Version: 1, ChangeID: "tls", SheetDate: "2026-01-02", Revision: 1,
		Services: []contract.Service{{Name: model, Kind: contract.KindEngine, Model: model}},
		Groups:   []contract.UpstreamGroup{{Name: "engines", Service: model, DataCentre: dataCentre, Role: "serve", Count: 1}},
		Callers: []contract.Caller{{ID: "c", Organisation: "o", KeySHA256: contract.HashKey(key), RatePerSecond: 100, Burst: 100,
			MaxInProgress: 100, Classes: []contract.Class{contract.ClassOnline}, Operator: true}},
	}
	if _, err := contract.NewStore(f.platform).Accept(t.Context(), 0, doc); err != nil {
		t.Fatal(err)
	}
	platformAddress := serve(t, f.platform.Handler())
	agent := f.start("agent-tls", "agent", fmt.Sprintf(
		"[instance]\nrole=agent\nid=agent-tls\ndata_centre=%s\nlisten=127.0.0.1:0\n[upstream]\naddress=%s\nservice=%s\n%s",
		dataCentre, f.startEngine(), model, tlsSettings(t, authority, "agent-tls")))
	f.platform.SetInstance(storage.Instance{ID: "agent-tls", Role: storage.RoleAgent, DataCentre: dataCentre,
		Address: agent.address, Service: model, State: storage.InstanceLive})
	entry := f.start("entry-tls", "entry", fmt.Sprintf(
		"[instance]\nrole=entry\nid=entry-tls\ndata_centre=%s\nlisten=127.0.0.1:0\n[platform]\naddress=%s\n%s",
		dataCentre, platformAddress, tlsSettings(t, authority, "entry-tls")))
	for chat(t.Context(), entry.address, "a question", tokens) != nil {
		select {
		case <-entry.done:
			t.Fatalf("entry exited: %v", entry.err)
		case <-agent.done:
			t.Fatalf("agent exited: %v", agent.err)
		case <-time.After(20 * time.Millisecond):
		}
	}
	conn, err := tls.Dial("tcp", agent.address, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"}}) // the test checks the agent's verification, not its own
	if err == nil {
		_, err = conn.Read(make([]byte, 1)) // with TLS 1.3, a rejected client gets the error at its first read
		_ = conn.Close()
	}
	if err == nil {
		t.Error("the agent accepts a client without a certificate")
	}
}
