package forward

import (
	"context"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
)

// Origins tells at which software version of an upstream streams began.
type Origins interface {
	// Admitted returns which upstreams of a service may begin resumable streams, nil for
	// all. It may wait for a short time if none may yet.
	Admitted(ctx context.Context, service string) func(*fleet.Upstream) bool
	// Begun records that the stream of a request begins at an upstream, before its first
	// event is passed on.
	Begun(service, request string, u *fleet.Upstream)
	// Certain reports whether what the list said of an upstream when a stream began there is
	// still believed.
	Certain(u *fleet.Upstream, began time.Time) bool
	// Ended records that the caller has got the whole stream.
	Ended(service, request string)
	// Version returns the software version at which the stream of a request began, or an
	// error if that cannot be told.
	Version(ctx context.Context, service, request string) (string, error)
}

// reasonUnknownVersion is the reason for rejecting a stream that may have begun at any of
// several software versions.
const reasonUnknownVersion = "unknown_version"

// hasOrigin reports whether the request is for a stream that callers may take up again.
func (x *exchange) hasOrigin() bool {
	return x.Route.Kind == fleet.Stream && x.Route.Resumable && x.cfg.Origins != nil
}

// streamID is the ID of the request that began, or is to begin, the stream.
func (x *exchange) streamID() string {
	if x.ResumeAfter != "" {
		return x.Resumes
	}
	return x.ID
}

// findVersion finds the software version that began a stream which the caller takes up. It
// returns false if that cannot be told.
func (x *exchange) findVersion() bool {
	if !x.hasOrigin() || x.ResumeAfter == "" {
		return true
	}
	version, err := x.cfg.Origins.Version(x.ctx, x.Service, x.Resumes)
	if err != nil {
		return false
	}
	x.version = &version
	return true
}

// accepts returns which upstreams can serve the request, nil for all.
func (x *exchange) accepts() func(*fleet.Upstream) bool {
	switch {
	case x.version != nil:
		version := *x.version
		return func(u *fleet.Upstream) bool { return u.SoftwareVersion == version }
	case x.hasOrigin():
		return x.cfg.Origins.Admitted(x.ctx, x.Service)
	}
	return nil
}

// isCertain reports whether the version of the upstream that began the stream can be relied
// on. u is nil before that.
func (x *exchange) isCertain(u *fleet.Upstream, began time.Time) bool {
	return u == nil || x.cfg.Origins == nil || x.cfg.Origins.Certain(u, began)
}

// recordOrigin records where the stream begins, or goes on for a caller that took it up.
func (x *exchange) recordOrigin(u *fleet.Upstream) {
	version := u.SoftwareVersion
	if x.began == nil {
		x.began, x.beganAt = u, time.Now()
	}
	x.version = &version
	if !x.hasOrigin() {
		return
	}
	x.cfg.Origins.Begun(x.Service, x.streamID(), u)
}
