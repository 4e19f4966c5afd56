package forward

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/request"
)

// Errors of StreamVersions.Find.
var (
	// ErrVersionUnknown: none of the routers that should know the stream does.
	ErrVersionUnknown = errors.New("forward: version of the stream unknown")
	// ErrVersionNotLearned: a router that may know the stream did not answer.
	ErrVersionNotLearned = errors.New("forward: version of the stream not learned")
)

// StreamVersions knows at which versions of the backend servers' software new streams may begin, and
// at which one a stream began. What two versions write doesn't fit together, so that a stream may go
// on only where it began.
type StreamVersions interface {
	// MayBegin returns whether new resumable streams of a service may begin at a version, and if
	// not, how long until they may; zero if that is unknown.
	MayBegin(service, version string) (ok bool, wait time.Duration)
	// Find returns the version at which the stream began that a request resumes.
	Find(ctx context.Context, r *request.Request) (version string, err error)
	// Relaying records, before the first event is relayed, that a request's stream is of a version.
	Relaying(r *request.Request)
	// Finished records that the caller has the whole stream.
	Finished(r *request.Request)
}

// findStreamVersion sets the version at which the stream began that the request resumes, or returns a
// refusal.
func (f *Forwarder) findStreamVersion(ctx context.Context, r *request.Request) *Refusal {
	if !r.Route.IsResumableStream() || !r.HasResume && r.Resumes == "" {
		return nil
	}
	version, err := f.Streams.Find(ctx, r)
	switch {
	case err == nil:
		r.SetStreamVersion(version)
		return nil
	case errors.Is(err, ErrVersionNotLearned):
		return &Refusal{Cause: StreamVersionUnknown, RetryAfter: retrySoon}
	}
	return &Refusal{Cause: StreamVersionUnknown, RetryAfter: retryMuchLater}
}

// servers returns the servers whose version allows the request. The result must not be modified.
func (f *Forwarder) servers(r *request.Request) []*fleet.Server {
	servers := f.Servers(r.Service)
	if !r.Route.IsResumableStream() {
		return servers
	}
	allowed := f.allowedVersions(r)
	firstOther := slices.IndexFunc(servers, func(s *fleet.Server) bool { return !allowed(s.Version) })
	if firstOther < 0 {
		return servers
	}
	matching := slices.Clone(servers[:firstOther])
	for _, s := range servers[firstOther:] {
		if allowed(s.Version) {
			matching = append(matching, s)
		}
	}
	return matching
}

// allowedVersions returns a function that tells whether a resumable stream may be sent to a version.
func (f *Forwarder) allowedVersions(r *request.Request) func(version string) bool {
	if r.HasStreamVersion {
		return func(version string) bool { return version == r.StreamVersion }
	}
	last, known, ok := "", false, false // most servers of a list have the version of the one before
	return func(version string) bool {
		if !known || version != last {
			ok, _ = f.Streams.MayBegin(r.Service, version)
			last, known = version, true
		}
		return ok
	}
}

// refuseWithoutServer returns the refusal of a request for which no server is left.
func (f *Forwarder) refuseWithoutServer(r *request.Request) *Refusal {
	others := f.Servers(r.Service)
	switch {
	case !r.Route.IsResumableStream() || len(others) == 0:
		return &Refusal{Cause: NoBackend, RetryAfter: retryLater}
	case r.HasStreamVersion:
		return &Refusal{Cause: StreamVersionGone, RetryAfter: retryMuchLater}
	}
	wait := time.Duration(0)
	for _, s := range others {
		ok, left := f.Streams.MayBegin(r.Service, s.Version)
		switch {
		case ok:
			return &Refusal{Cause: NoBackend, RetryAfter: retryLater} // those of this version are leaving
		case wait == 0 || left > 0 && left < wait:
			wait = left
		}
	}
	return &Refusal{Cause: VersionNotAdmitted, RetryAfter: max(retrySoon, wait)}
}

// recordVersion binds the request's stream to the version of the server whose first event is about to
// be relayed.
func (t *task) recordVersion(server *fleet.Server) {
	if !t.r.Route.IsResumableStream() {
		return
	}
	if !t.r.HasStreamVersion {
		t.r.SetStreamVersion(server.Version)
	}
	t.f.Streams.Relaying(t.r)
}
