package forward

import (
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/quarantine"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

const (
	// maxParts bounds the prompt parts of one request that may be blamed for a crash.
	maxParts = 8
	// survivalTime is how long a server must have sent events of a stream to show that the request does
	// not crash it when it begins: some servers end after their first events.
	survivalTime = 300 * time.Millisecond
)

// featuresOf returns what a request may have in common with others that crash servers, from the most
// general to the most specific feature. The last part of a prompt is the request's own.
func featuresOf(r *request.Request) []quarantine.Feature {
	ids := r.SharedPartIDs()
	features := make([]quarantine.Feature, 0, maxParts+1)
	for _, id := range ids[:min(len(ids), maxParts)] {
		if part := quarantine.Part(id); !slices.Contains(features, part) {
			features = append(features, part)
		}
	}
	return append(features, quarantine.Content(hashContent(r)))
}

// hashContent returns a hash that is the same for each repetition of a request by the same caller.
func hashContent(r *request.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.RequestURI, r.APIKey} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// checkQuarantine returns a refusal if one of the features crashes servers. Otherwise it returns those
// that are to be checked again before the request is sent: all but one that is tried again.
func (f *Forwarder) checkQuarantine(features []quarantine.Feature) (checked []quarantine.Feature, refused *Refusal) {
	return checkFeatures(features, f.Quarantine.Held, f.TryAgain)
}

// checkFeatures is checkQuarantine with the functions that it asks.
func checkFeatures(features []quarantine.Feature, lookup func([]quarantine.Feature) (quarantine.Feature, bool), tryAgain func(quarantine.Feature) bool) (checked []quarantine.Feature, refused *Refusal) {
	held, found := lookup(features)
	if !found {
		return features, nil
	}
	checked = slices.DeleteFunc(slices.Clone(features), func(feature quarantine.Feature) bool { return feature == held })
	if other, found := lookup(checked); found || !tryAgain(held) {
		if !found {
			other = held
		}
		return nil, &Refusal{Cause: RequestQuarantined, Detail: "servers crashed from requests with " + other.String()}
	}
	return checked, nil
}

// isHeldBack reports whether the request is held back since it was admitted.
func (t *task) isHeldBack() bool {
	_, held := t.f.Quarantine.Held(t.checked)
	return held
}

// recordReceived counts a whole event of the present attempt.
func (t *task) recordReceived(watch *watchdog) {
	now := time.Now()
	t.stream.Event(now)
	if t.received == 0 {
		t.beganAt = now
		watch.stopHolding()
	}
	t.received++
	if !t.survived && now.Sub(t.beganAt) >= survivalTime {
		t.survived = true
		t.f.Quarantine.RecordBegun(t.features)
	}
}

// sinceBegan returns the time since the first whole event of the last attempt, or zero if it has none.
func (t *task) sinceBegan() time.Duration {
	if t.beganAt.IsZero() {
		return 0
	}
	return time.Since(t.beganAt)
}

// exchange returns the last attempt as evidence of a crash.
func (t *task) exchange(server *fleet.Server) quarantine.Exchange {
	return quarantine.Exchange{Server: server.Incarnation, Features: t.features, Late: t.survived}
}

// recordWhole records a complete answer. One that ended with its connection may have been cut off.
func (t *task) recordWhole(server *fleet.Server, reply *upstream.Reply) {
	if reply.Unframed {
		t.f.Quarantine.RecordUnframedEnd(t.exchange(server))
		return
	}
	t.f.Quarantine.RecordWhole(t.features)
}

// featureAttr returns the features for the log.
func (t *task) featureAttr() slog.Attr {
	names := make([]string, 0, len(t.features))
	for _, feature := range t.features {
		names = append(names, feature.String())
	}
	return slog.Any("features", names)
}
