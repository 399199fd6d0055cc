package e2e

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/operator"
	"github.com/magnoliausher/magnoliausher/operator/client"
)

// Guards against losing an acknowledged change with the entry that accepted it.
// The platform is down too, so only the links can transfer the change.
func TestChangeSurvivesLossOfEntryAfterAcknowledgement(t *testing.T) {
	f := newFleet(t, 3, 2)
	entry, survivor := f.entries[0], f.entries[1]
	change := operator.Change{Base: 1}
	change.Put.Services = []contract.Service{{Name: model, Kind: contract.KindEngine, Model: model, DeadlineMS: 30_000}}
	c := &client.Client{BaseURL: "http://" + entry.address, Key: key}
	result, err := c.Change(t.Context(), change, "")
	f.platform.SetOutage(true)
	entry.signal(t, syscall.SIGKILL)
	if err != nil || result.Version != 2 {
		t.Fatalf("%+v, %v", result, err)
	}
	for configVersion(t, survivor) < result.Version {
		time.Sleep(20 * time.Millisecond)
	}
}

func configVersion(t *testing.T, p *process) uint64 {
	t.Helper()
	resp, err := http.Get("http://" + p.address + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var ready struct {
		ConfigVersion uint64 `json:"config_version"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&ready); err != nil {
		t.Fatal(err)
	}
	return ready.ConfigVersion
}
