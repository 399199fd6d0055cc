package intake

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against a request that is neither answered nor refused and leaves no trace in the log.
func TestRequestOfAClosedConnectionIsLogged(t *testing.T) {
	var log strings.Builder
	c := NewConnections("callers", ConnectionLimits{}, zerolog.New(&log))
	server := &http.Server{Handler: http.NotFoundHandler()}
	c.Install(server)
	conn := &connection{owner: c}
	c.table.add(&conn.entry, start)
	c.table.drop(&conn.entry)
	func() {
		defer func() { _ = recover() }() // the log is checked
		request := httptest.NewRequest(http.MethodGet, "/target", nil)
		server.Handler.ServeHTTP(httptest.NewRecorder(), request.WithContext(server.ConnContext(request.Context(), conn)))
	}()
	if !strings.Contains(log.String(), `"target":"/target"`) || !strings.Contains(log.String(), `"outcome":"aborted"`) {
		t.Errorf("log: %s", log.String())
	}
}
