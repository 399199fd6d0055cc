package daemon

import (
	"net"
	"testing"
)

// Guards against a gateway of a test that can't listen since its port was given twice or is another process's by then.
func TestFreeAddressIsTakenByNothingElse(t *testing.T) {
	given := make(map[string]bool)
	for range 300 {
		address := freeAddress(t)
		if given[address] {
			t.Errorf("%s was given twice", address)
		}
		given[address] = true
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		// Servers and connections of other tests are on this number.
		if other, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port)); err == nil {
			defer other.Close()
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Error(err)
			continue
		}
		l.Close()
	}
}
