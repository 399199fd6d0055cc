package daemon

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against an odd entry of another writer among those of the engines that ends a
// gateway or keeps it from following the list.
func TestOddEngineEntryDoesNotStopTheList(t *testing.T) {
	d := newDeployment(t, 1)
	g, left := d.gateways[0], d.engines[0]
	entry := func(fields string) string {
		return fmt.Sprintf(`{"service":"llm","zone":"z","version":"v1","state":"ready","cold-left-ms":0,"seq":1,%s}`, fields)
	}
	deep := strings.Repeat("[", 15_000) + strings.Repeat("]", 15_000)
	for name, value := range map[string]string{
		"deep": deep, "deep-field": entry(`"address":"127.0.0.1:1","slots":4,"extra":` + deep),
		"number": entry(`"address":"127.0.0.1:1","slots":9000000000000000000,"born":1`), "exponent": entry(`"address":"127.0.0.1:1","slots":4,"born":1e300`),
		"port": entry(`"address":"127.0.0.1:70000","slots":4,"born":1`), "zero": entry(`"address":"127.0.0.1:0","slots":4,"born":1`),
		"bytes": "\xff\xfe\x00",
	} {
		d.store.Put("servers", "", "odd-"+name, []byte(value))
	}
	left.Register(d.store, "draining", left.Address())
	d.eventually("the engine's draining is known", func() bool { return len(g.holder.View().Usable("llm")) == 2 })
	before, _ := left.RunStats()
	for range 20 {
		if r := g.send("POST", "/ask/x", nextID(), ""); r.status != 200 {
			t.Errorf("status %d", r.status)
		}
	}
	if after, _ := left.RunStats(); after != before {
		t.Errorf("%d requests reached the draining engine", after-before)
	}
	if r := d.start("late").send("POST", "/ask/x", nextID(), ""); r.status != 200 {
		t.Errorf("at a gateway that reads the whole list: status %d", r.status)
	}
}
