package settings

import (
	"fmt"

	"github.com/magnoliausher/magnoliausher/intake"
)

const (
	// gatewayBody and gatewayJob are the memory for a body of 4 MiB, with the buffer that
	// it outgrows, and for a batch job of that size while it is submitted.
	gatewayBody = 7 << 20
	gatewayJob  = 17 << 20
	// minDescriptors leaves 40 connections to callers.
	minDescriptors = 300
)

// EntryBodyCopies is how many times its size a request body takes in an entry: the buffer
// that grows and the message for the agent.
const EntryBodyCopies = 3

func (r *reader) memoryLimit() int { return r.integer("limits", "memory_mb", 0, 0, 1<<20) }

func (r *reader) descriptorLimit() int { return r.integer("limits", "max_descriptors", 0, 0, 1<<24) }

// Notes returns what the limits do not suffice for. The settings are valid nevertheless.
func (g *Gateway) Notes() []string {
	notes := descriptorNotes(g.MaxDescriptors)
	switch most := intake.MaxBody(g.MemoryLimitMB); {
	case g.MemoryLimitMB == 0:
	case most < gatewayBody:
		notes = append(notes, "limits.memory_mb is too small for a request body of 4 MiB, the usual limit of configurations")
	case most < gatewayJob:
		notes = append(notes, "limits.memory_mb is too small for a batch job of 4 MiB, the usual limit of configurations")
	}
	return notes
}

// Notes returns what the limits do not suffice for. The settings are valid nevertheless.
func (e *Entry) Notes() []string {
	notes := descriptorNotes(e.MaxDescriptors)
	if e.MemoryLimitMB > 0 && intake.MaxBody(e.MemoryLimitMB) < EntryBodyCopies*e.MaxBodyBytes {
		notes = append(notes, fmt.Sprintf("limits.memory_mb is too small for a request body of %d bytes, limits.max_body_bytes", e.MaxBodyBytes))
	}
	return notes
}

// Notes returns what the limits do not suffice for. The settings are valid nevertheless.
func (a *Agent) Notes() []string {
	notes := descriptorNotes(a.MaxDescriptors)
	if a.MemoryLimitMB > 0 && intake.MaxCalls(a.MemoryLimitMB) < a.Slots+a.QueueLength {
		notes = append(notes, "limits.memory_mb is too small for the calls of upstream.slots and limits.queue")
	}
	return notes
}

func descriptorNotes(limit int) []string {
	if limit > 0 && limit < minDescriptors {
		return []string{"limits.max_descriptors leaves fewer than 40 connections to callers"}
	}
	return nil
}
