package node

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Metrics of one router; it implements forward.Metrics.
type Metrics struct {
	registry     *prometheus.Registry
	first        prometheus.Histogram
	whole        prometheus.Histogram
	refused      *prometheus.CounterVec
	repeated     *prometheus.CounterVec
	BackendDials prometheus.Counter
	calls        *prometheus.CounterVec
	relayed      *prometheus.GaugeVec
	checked      *prometheus.CounterVec

	mu     sync.Mutex
	recent map[string]int // calls to the store since the last line of the log
}

// NewMetrics makes and registers the metrics.
func NewMetrics() *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12) // 5 ms to 10 s
	m := &Metrics{
		registry:     prometheus.NewRegistry(),
		first:        prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chicory_first_byte_seconds", Help: "From arrival to the answer's first byte.", Buckets: buckets}),
		whole:        prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chicory_answer_seconds", Help: "From arrival to the answer's end.", Buckets: buckets}),
		refused:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_refused_total", Help: "Requests without a backend server's whole answer, by cause."}, []string{"cause"}),
		repeated:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_repeated_total", Help: "Requests sent once more, by reason."}, []string{"why"}),
		BackendDials: prometheus.NewCounter(prometheus.CounterOpts{Name: "chicory_backend_dials_total", Help: "Connections opened to backend servers."}),
	}
	m.calls = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_store_calls_total",
		Help: "Calls to the store, by kind, subject and outcome."}, []string{"kind", "subject", "outcome"})
	m.relayed = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "chicory_follows_router",
		Help: "1: what lies under the prefix is learned from another router; 0: from the store."}, []string{"prefix"})
	m.checked = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_knowledge_old_total",
		Help: "Times that what lies under the prefix was not confirmed in time."}, []string{"prefix"})
	m.recent = make(map[string]int)
	m.registry.MustRegister(m.first, m.whole, m.refused, m.repeated, m.BackendDials, m.calls, m.relayed, m.checked)
	return m
}

// watchLimits exposes how many backend servers limit their requests.
func (m *Metrics) watchLimits(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_limited_backends",
		Help: "Backend servers that name a limit of requests a second."}, func() float64 { return float64(count()) }))
}

// Served implements forward.Metrics.
func (m *Metrics) Served(first, whole time.Duration) {
	m.first.Observe(first.Seconds())
	m.whole.Observe(whole.Seconds())
}

// Refused implements forward.Metrics.
func (m *Metrics) Refused(cause forward.Cause) {
	m.refused.WithLabelValues(string(cause)).Inc()
}

// Retried implements forward.Metrics.
func (m *Metrics) Retried(why string) {
	m.repeated.WithLabelValues(why).Inc()
}

// Outcomes of calls to the store.
const (
	callAnswered = "answered"
	callFailed   = "failed"
)

// CountStoreCall counts one call to the store. It is the callback of store.Counted.
func (m *Metrics) CountStoreCall(kind, subject string, err error) {
	outcome, key := callAnswered, kind+" "+subject
	if err != nil && !errors.Is(err, store.ErrConflict) {
		outcome = callFailed
		key += " " + callFailed
	}
	m.calls.WithLabelValues(kind, subject, outcome).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recent[key]++
}

// SetRelayed records whether this router follows the prefix through another router (relayed)
// or in the store.
func (m *Metrics) SetRelayed(prefix string, relayed bool) {
	value := 0.0
	if relayed {
		value = 1
	}
	m.relayed.WithLabelValues(prefix).Set(value)
}

// CountStale counts that the data under the prefix was not confirmed in time.
func (m *Metrics) CountStale(prefix string) {
	m.checked.WithLabelValues(prefix).Inc()
}

// takeRecent returns the calls to the store since it was asked last.
func (m *Metrics) takeRecent() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := m.recent
	m.recent = make(map[string]int, len(recent))
	return recent
}

// callsEvery is how often the calls to the store are logged: seldom enough to cost
// nothing, often enough to tell an outage's calls from those before it.
const callsEvery = 10 * time.Second

// logCalls writes what the store is asked for until ctx ends, and once more then.
func (n *Node) logCalls(ctx context.Context) {
	ticker := time.NewTicker(callsEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		var attrs []slog.Attr
		for key, count := range n.metrics.takeRecent() {
			attrs = append(attrs, slog.Int(key, count))
		}
		if len(attrs) > 0 {
			n.log.Emit(event.StoreCalls, attrs...)
		}
	}
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}
