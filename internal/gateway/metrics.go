package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chicorytiller.example/chicorytiller/internal/core"
)

// requestKind is the value of the label "kind".
type requestKind string

const (
	kindChat    requestKind = "chat"
	kindModels  requestKind = "models"
	kindEntry   requestKind = "entry"
	kindService requestKind = "service"
	kindOther   requestKind = "other" // no such path, broken HTTP
)

// Values of the label "outcome" besides those of core.Outcome.
const (
	outcomeAnswered = "answered"
	outcomeReplayed = "replayed"
)

// metrics are the counters of the callers' listener. No label holds a value
// that callers choose, so that callers can't grow the number of series.
type metrics struct {
	requests   *prometheus.CounterVec
	firstToken prometheus.Histogram
	tokens     prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, inFlight func() float64) (*metrics, error) {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicory_gateway_requests_total",
			Help: "Callers' requests by kind, outcome and cause.",
		}, []string{"kind", "outcome", "cause"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "chicory_gateway_first_token_seconds",
			Help:    "Time from a request's arrival to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chicory_gateway_tokens_forwarded_total",
			Help: "Completion tokens taken from engines for callers.",
		}),
	}
	flying := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chicory_gateway_in_flight",
		Help: "Requests that have not ended yet.",
	}, inFlight)
	for _, collector := range []prometheus.Collector{m.requests, m.firstToken, m.tokens, flying} {
		if err := registerer.Register(collector); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *metrics) answered(kind requestKind) {
	m.requests.WithLabelValues(string(kind), outcomeAnswered, "").Inc()
}

func (m *metrics) replayed(kind requestKind) {
	m.requests.WithLabelValues(string(kind), outcomeReplayed, "").Inc()
}

func (m *metrics) refused(kind requestKind, refusal *core.Refusal) {
	m.requests.WithLabelValues(string(kind), string(refusal.Outcome), string(refusal.Cause)).Inc()
}

func (m *metrics) firstTokenAfter(wait time.Duration) {
	m.firstToken.Observe(wait.Seconds())
}
