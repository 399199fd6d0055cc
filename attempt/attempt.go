// Package attempt identifies the attempts to serve a request and checks whether an
// attempt may be sent to an upstream.
package attempt

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/effect"
)

// ID identifies an attempt uniquely within the fleet.
type ID string

const idBytes = 16

// NewID returns a random id.
func NewID() ID {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails since Go 1.24
	return ID(hex.EncodeToString(b[:]))
}

// Executed says whether an upstream may have executed an attempt.
type Executed string

// Values of the X-Request-Executed header.
const (
	ExecutedNo      Executed = "no"
	ExecutedYes     Executed = "yes"
	ExecutedUnknown Executed = "unknown"
)

// Outcome returns what is known of the effect. An empty value tells nothing.
func (e Executed) Outcome() effect.Outcome {
	switch e {
	case ExecutedNo:
		return effect.NotPerformed
	case ExecutedYes:
		return effect.Performed
	}
	return effect.Unknown
}

// Ticket authorises an agent to send one attempt to its upstream.
type Ticket struct {
	AgentIncarnation uint64        // incarnation of the agent that the ticket was issued for
	NotAfter         time.Duration // in the agent's monotonic time since its start
}

// Fingerprint returns a hash of a request's caller, service and body. A resent
// request has the same fingerprint.
func Fingerprint(caller, service string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(caller)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}
