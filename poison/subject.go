package poison

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxParts limits the parts of a prompt that are tracked. Of longer prompts the first
// ones are, which more requests share.
const MaxParts = 64

// An upstream that crashes when it begins to answer may still send the first piece of
// its answer: an event of a stream or a piece of text.
const (
	// SuspectOutputs is the largest number of pieces at which the parts of a prompt may
	// have caused a crash.
	SuspectOutputs = 1
	// SoundOutputs is the number of pieces from which the parts count as sound.
	SoundOutputs = 3
)

// Subject is what may make a request crash upstreams: the request as a whole, and the
// parts of its prompt that other requests share.
type Subject struct {
	RequestID string // for logs
	Request   uint64 // hash that resends of the request share; 0 if it is not tracked
	Parts     []Part
}

// Part is a part of a prompt that requests to one service may share. The upstreams of
// another service may answer what crashes those of this one.
type Part struct {
	Name        string // for logs
	Fingerprint uint64
}

// NewPart returns the part of prompts for a service with the given name. Its fingerprint
// differs from that of a request whose hash was computed over the same bytes.
func NewPart(service, name string) Part {
	return Part{Name: name, Fingerprint: xxhash.Sum64String("part\x00" + service + "\x00" + name)}
}

// PartNames returns the names of the parts, joined by commas.
func (s *Subject) PartNames() string {
	var b strings.Builder
	for i, p := range s.Parts {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(p.Name)
	}
	return b.String()
}

// Fingerprints returns the fingerprints of the request and its parts.
func (s *Subject) Fingerprints() []uint64 {
	list := make([]uint64, 0, 1+len(s.Parts))
	if s.Request != 0 {
		list = append(list, s.Request)
	}
	for _, p := range s.Parts {
		list = append(list, p.Fingerprint)
	}
	return list
}

// PartName returns the name of the part with the fingerprint, or "".
func (s *Subject) PartName(fingerprint uint64) string {
	for _, p := range s.Parts {
		if p.Fingerprint == fingerprint {
			return p.Name
		}
	}
	return ""
}

// PartsOf returns a subject of parts without names.
func PartsOf(requestID string, fingerprints []uint64) *Subject {
	s := &Subject{RequestID: requestID}
	for _, fp := range fingerprints {
		s.Parts = append(s.Parts, Part{Fingerprint: fp})
	}
	return s
}
