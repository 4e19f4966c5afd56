package node

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chicorytiller.example/chicorytiller/internal/forward"
)

// Metrics of one router; it implements forward.Metrics.
type Metrics struct {
	registry *prometheus.Registry
	first    prometheus.Histogram
	whole    prometheus.Histogram
	refused  *prometheus.CounterVec
	repeated *prometheus.CounterVec
	Dials    prometheus.Counter
}

// NewMetrics makes and registers the metrics.
func NewMetrics() *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12) // 5 ms to 10 s
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		first:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chicory_first_byte_seconds", Help: "From arrival to the answer's first byte.", Buckets: buckets}),
		whole:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chicory_answer_seconds", Help: "From arrival to the answer's end.", Buckets: buckets}),
		refused:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_refused_total", Help: "Requests without a backend server's whole answer, by cause."}, []string{"cause"}),
		repeated: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_repeated_total", Help: "Requests sent once more, by reason."}, []string{"why"}),
		Dials:    prometheus.NewCounter(prometheus.CounterOpts{Name: "chicory_backend_dials_total", Help: "Connections opened to backend servers."}),
	}
	m.registry.MustRegister(m.first, m.whole, m.refused, m.repeated, m.Dials)
	return m
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

// Repeated implements forward.Metrics.
func (m *Metrics) Repeated(why string) {
	m.repeated.WithLabelValues(why).Inc()
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}
