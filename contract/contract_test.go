package contract

import "testing"

// Guards against a non-repeatable route that matches a sibling path or does not
// match a path below it.
func TestRepeatableMatchesWholePathElements(t *testing.T) {
	svc := Service{NonRepeatable: []Route{{Method: "POST", Path: "/invoice"}}}
	cases := []struct {
		method, path string
		want         bool
	}{
		{"POST", "/invoice", false},
		{"POST", "/invoice/7", false},
		{"POST", "/invoices", true},
		{"GET", "/invoice", true},
		{"POST", "/", true},
		{"POST", "//invoice", false},
		{"POST", "/a/.././invoice/", false},
	}
	for _, c := range cases {
		if got := svc.Repeatable(c.method, c.path); got != c.want {
			t.Errorf("Repeatable(%s %s) = %v, want %v", c.method, c.path, got, c.want)
		}
	}
}

// Guards against a delayed answer of a peer that replaces the configuration by
// an older one.
func TestHolderVersionNeverDecreases(t *testing.T) {
	var h Holder
	changes, stop := h.Watch()
	defer stop()
	for _, v := range []uint64{1, 3, 2, 3, 1} {
		h.SetIfNewer(&Document{Version: v})
	}
	if h.Version() != 3 {
		t.Fatalf("version %d, want 3", h.Version())
	}
	select {
	case <-changes:
	default:
		t.Fatal("watcher was not notified of the change")
	}
}
