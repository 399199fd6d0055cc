// Package attempt identifies the attempts of requests and limits when they may
// be handed to an upstream.
package attempt

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID is unique for every attempt in the fleet.
type ID string

const idBytes = 16

// NewID returns a random id.
func NewID() ID {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails since Go 1.24
	return ID(hex.EncodeToString(b[:]))
}

// Executed says whether an attempt can have had an effect at an upstream.
type Executed string

// Values of the X-Request-Executed header.
const (
	ExecutedNo      Executed = "no"
	ExecutedYes     Executed = "yes"
	ExecutedUnknown Executed = "unknown"
)

// Ticket is the right to hand one attempt to one upstream.
type Ticket struct {
	AgentIncarnation uint64        // of the agent that the ticket is for
	NotAfter         time.Duration // in the agent's monotonic time since its start
}

// Fingerprint hashes caller, service and body of a request. A resend has the same one.
func Fingerprint(caller, service string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(caller)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}
