// Package daemon assembles the processes of the system from their settings: the
// entry that serves callers, the agent next to each upstream, and the gateway.
package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/settings"
)

// readHeaderTimeout bounds the time to read a request header.
const readHeaderTimeout = 10 * time.Second

// shutdownTimeout bounds the graceful shutdown of a server.
const shutdownTimeout = 2 * time.Second

// NewLogger returns a JSON logger that writes to standard error.
func NewLogger(l settings.Log, instance settings.Instance) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil {
		return zerolog.Logger{}, trace.Wrap(err)
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().
		Str("instance", instance.ID).Str("data_centre", instance.DataCentre).Logger(), nil
}

// newIncarnation returns a random number that identifies one run of an instance.
func newIncarnation() uint64 { return rand.Uint64() }

// serve runs an HTTP server until it is shut down.
func serve(server *http.Server, l net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(l, "", "")
	} else {
		err = server.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// shutdown stops a server whose requests have finished. Streams that do not end on
// their own, such as control streams, are closed after shutdownTimeout.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, trace.Wrap(err)
}
