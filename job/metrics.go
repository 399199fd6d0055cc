package job

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// chunkEvent is the event label of the chunk counter.
type chunkEvent string

// Events of chunks. chunkCollided is a claim attempt on a chunk that another entry
// claimed first.
const (
	chunkClaimed   chunkEvent = "claimed"
	chunkCollided  chunkEvent = "collided"
	chunkCommitted chunkEvent = "committed"
	chunkLost      chunkEvent = "lost"
	chunkReturned  chunkEvent = "returned"
)

func countChunk(e chunkEvent) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_batch_chunks_total{event=%q}`, e)).Inc()
}

// countItem counts a finished item; result is "answered" or the error code.
func countItem(service, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`magnoliausher_batch_items_total{service=%q,result=%q}`, service, result)).Inc()
}
