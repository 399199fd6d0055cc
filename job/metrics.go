package job

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// chunkEvent is what happened to a chunk at this entry.
type chunkEvent string

// Events of chunks. A collision is a claim that another entry made first.
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

// countItem counts a finished item; result is answered or the code of its error line.
func countItem(service, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`magnoliausher_batch_items_total{service=%q,result=%q}`, service, result)).Inc()
}
