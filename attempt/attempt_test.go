package attempt

import "testing"

// Guards against equal fingerprints for different callers or services when the
// fields are hashed without a separator.
func TestFingerprintSeparatesFields(t *testing.T) {
	a := Fingerprint("ab", "c", []byte("d"))
	b := Fingerprint("a", "bc", []byte("d"))
	if a == b {
		t.Fatal("fingerprints of different requests are equal")
	}
	if a != Fingerprint("ab", "c", []byte("d")) {
		t.Fatal("fingerprint of a resend differs")
	}
}
