package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is a kind of features by which requests that crash servers are told apart.
type Kind int

const (
	// KindPart is a prompt part that other requests share.
	KindPart Kind = iota
	// KindContent is the whole content of a request, the same for each repetition by one caller.
	KindContent
)

// rule says how much evidence blames a feature.
type rule struct {
	name string
	// servers is the number of servers that must have crashed while they began to answer requests
	// with the feature.
	servers int
	// lateServers is the number that must have crashed while they ran such requests at all. It is
	// larger, since a long answer is often there when another request crashes its server.
	lateServers int
	// trialDelay is how long after its last crash a feature that was blamed by just enough evidence is
	// tried again; zero means never. A content is not: a trial may cost a server with all of its
	// requests, a content that was blamed wrongly costs little.
	trialDelay time.Duration
}

// rules holds the rule of each kind. A content is shared by few requests, so little is lost if it is
// blamed wrongly; a part may be in all requests of a route.
var rules = map[Kind]rule{
	KindPart:    {name: "part", servers: 3, lateServers: 6, trialDelay: 10 * time.Second},
	KindContent: {name: "content", servers: 2, lateServers: 3},
}

// Feature is what requests can have in common that crash servers.
type Feature struct {
	Kind Kind
	Hash uint64
}

// Part returns the feature of a prompt part.
func Part(id string) Feature {
	return Feature{KindPart, xxhash.Sum64String(id)}
}

// Content returns the feature of a content's hash.
func Content(hash uint64) Feature {
	return Feature{KindContent, hash}
}

// String returns the feature's form in logs.
func (f Feature) String() string {
	return rules[f.Kind].name + ":" + formatHash(f.Hash)
}

func formatHash(hash uint64) string {
	return strconv.FormatUint(hash, 16)
}

func parseHash(text string) (uint64, error) {
	return strconv.ParseUint(text, 16, 64)
}
