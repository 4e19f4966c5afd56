package node

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chicorytiller.example/chicorytiller/internal/callerconn"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/inbound"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// Metrics holds the Prometheus metrics of one router. It implements forward.Metrics.
type Metrics struct {
	registry      *prometheus.Registry
	firstByte     prometheus.Histogram
	total         prometheus.Histogram
	refused       *prometheus.CounterVec
	retried       *prometheus.CounterVec
	BackendDials  prometheus.Counter
	storeCalls    *prometheus.CounterVec
	relayed       *prometheus.GaugeVec
	storeEra      prometheus.Gauge
	stale         *prometheus.CounterVec
	tunnels       *prometheus.CounterVec
	resumed       *prometheus.CounterVec
	streamRecords *prometheus.CounterVec
	crashReports  *prometheus.CounterVec
	permits       *prometheus.CounterVec
	loadFaults    *prometheus.CounterVec
	predictions   *prometheus.HistogramVec
	admission     *prometheus.CounterVec

	mu     sync.Mutex
	recent map[string]int // number of calls to the store since the last log entry, by kind and subject
}

// NewMetrics creates and registers the metrics.
func NewMetrics() *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12) // 5 ms to 10 s
	m := &Metrics{
		registry:     prometheus.NewRegistry(),
		firstByte:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chicory_first_byte_seconds", Help: "From arrival to the answer's first byte.", Buckets: buckets}),
		total:        prometheus.NewHistogram(prometheus.HistogramOpts{Name: "chicory_answer_seconds", Help: "From arrival to the answer's end.", Buckets: buckets}),
		refused:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_refused_total", Help: "Requests without a backend server's whole answer, by cause."}, []string{"cause"}),
		retried:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_repeated_total", Help: "Requests sent once more, by reason."}, []string{"why"}),
		BackendDials: prometheus.NewCounter(prometheus.CounterOpts{Name: "chicory_backend_dials_total", Help: "Connections opened to backend servers."}),
	}
	m.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_store_calls_total",
		Help: "Calls to the store, by kind, subject and outcome."}, []string{"kind", "subject", "outcome"})
	m.storeEra = prometheus.NewGauge(prometheus.GaugeOpts{Name: "chicory_store_era", Help: "Era of the store when it was last seen to have lost writes, 0 if never."})
	m.relayed = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "chicory_follows_router",
		Help: "1: what lies under the prefix is learned from another router; 0: from the store."}, []string{"prefix"})
	m.stale = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_knowledge_old_total",
		Help: "Times that what lies under the prefix was not confirmed in time."}, []string{"prefix"})
	m.tunnels = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_carried_total",
		Help: "Connections to backend servers that other routers asked for, by outcome."}, []string{"outcome"})
	m.resumed = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_resumed_streams_total",
		Help: "Requests that resume a stream, by how the version at which it began is known."}, []string{"by"})
	m.streamRecords = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_stream_records_total",
		Help: "Records of streams for other routers, by outcome."}, []string{"outcome"})
	m.crashReports = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_crash_reports_total",
		Help: "Reports of crashes of backend servers handed to other routers directly, by outcome."}, []string{"outcome"})
	m.permits = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_permits_total",
		Help: "Permits for requests to fragile servers that this router asked for, by outcome."}, []string{"outcome"})
	m.loadFaults = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_load_report_faults_total",
		Help: "Invalid load reports of backend servers, by fault."}, []string{"fault"})
	m.predictions = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "chicory_prediction_error_seconds",
		Help: "Difference of the actual and the predicted time to the first event, by whether it came later or earlier.", Buckets: buckets}, []string{"actual"})
	m.registry.MustRegister(m.loadFaults, m.predictions)
	m.admission = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "chicory_admission_total",
		Help: "Decisions on requests of services whose capacity was short, by priority and outcome."}, []string{"priority", "outcome"})
	m.registry.MustRegister(m.resumed, m.streamRecords, m.crashReports, m.permits, m.admission)
	m.recent = make(map[string]int)
	m.registry.MustRegister(m.tunnels, m.firstByte, m.total, m.refused, m.retried, m.BackendDials, m.storeCalls, m.relayed, m.storeEra, m.stale)
	return m
}

// registerFragileServices registers a gauge of the services whose servers are fragile.
func (m *Metrics) registerFragileServices(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_fragile_services",
		Help: "Services whose backend servers crash if they have to reject too many requests."}, func() float64 { return float64(count()) }))
}

// registerLimitedBackends registers a gauge of the backend servers that limit their request rate.
func (m *Metrics) registerLimitedBackends(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_limited_backends",
		Help: "Backend servers that name a limit of requests a second."}, func() float64 { return float64(count()) }))
}

// registerQuarantined registers a gauge of the contents that are refused because they crash servers.
func (m *Metrics) registerQuarantined(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_quarantined_contents",
		Help: "Contents of requests that are refused because they crashed backend servers."}, func() float64 { return float64(count()) }))
}

// registerCutPaths registers a gauge of the backend servers that answer other routers but not this one.
func (m *Metrics) registerCutPaths(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_cut_paths",
		Help: "Backend servers that answer other routers but not this one."}, func() float64 { return float64(count()) }))
}

// registerHeldBytes registers a gauge of the bytes held of answers that don't state their length.
func (m *Metrics) registerHeldBytes(held func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_held_answer_bytes",
		Help: "Bytes held of long answers that don't state their length."}, func() float64 { return float64(held()) }))
}

// registerCallerConns registers what is known of callers that read slowly.
func (m *Metrics) registerCallerConns(l *callerconn.Listener) {
	m.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "chicory_stalled_callers_total", Help: "Callers disconnected because they read nothing."},
			func() float64 { return float64(l.Stalled()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_caller_waiting_bytes",
			Help: "Bytes of answers that wait for callers, beyond 256 KiB for each in the kernel."}, func() float64 { return float64(l.WaitingBytes()) }))
}

// registerCarried registers a gauge of the connections that this router carries for others.
func (m *Metrics) registerCarried(active func() int64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_carried_connections",
		Help: "Open connections to backend servers that this router carries for others."}, func() float64 { return float64(active()) }))
}

// Values of the label "outcome" of tunnels.
const (
	tunnelOpened      = "opened"
	tunnelUnreachable = "unreachable"
	tunnelUnknown     = "unknown"
)

func (m *Metrics) countTunnel(outcome string) {
	m.tunnels.WithLabelValues(outcome).Inc()
}

// Values of the label "outcome" of permits.
const (
	permitGranted     = "granted"
	permitDenied      = "denied"
	permitUnreachable = "no grantor reached"
	// permitNotReturned and permitNotReported: a grantor did not get a message. It learns of the end of
	// requests by the next report or by the lack of one.
	permitNotReturned = "not returned"
	permitNotReported = "not reported"
)

func (m *Metrics) countPermit(outcome string) {
	m.permits.WithLabelValues(outcome).Inc()
}

// CountAdmission implements admission.Metrics.
func (m *Metrics) CountAdmission(priority int, outcome string) {
	m.admission.WithLabelValues(strconv.Itoa(priority), outcome).Inc()
}

// registerLimitedServices registers a gauge of the services whose requests are limited by admission.
func (m *Metrics) registerLimitedServices(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_limited_services",
		Help: "Services whose servers are full, so that requests are admitted by urgency."}, func() float64 { return float64(count()) }))
}

// registerGrantedServers registers a gauge of the fragile servers that this router grants permits for.
func (m *Metrics) registerGrantedServers(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_granted_servers",
		Help: "Fragile backend servers that this router grants permits for."}, func() float64 { return float64(count()) }))
}

// Outcomes of records of streams.
const (
	recordsSent    = "sent"
	recordsNotSent = "not sent" // to one of the holders
	recordsDropped = "dropped"
)

// registerStreamRecords registers gauges of the records of streams that this router keeps.
func (m *Metrics) registerStreamRecords(own, held func() int) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_own_streams", Help: "Streams that this router relays, or did until their callers left."},
			func() float64 { return float64(own()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_held_streams", Help: "Records of streams kept for other routers."},
			func() float64 { return float64(held()) }))
}

func (m *Metrics) countResumed(by string) {
	m.resumed.WithLabelValues(by).Inc()
}

func (m *Metrics) countStreamRecords(outcome string, records int) {
	m.streamRecords.WithLabelValues(outcome).Add(float64(records))
}

func (m *Metrics) countCrashReports(outcome string, reports int) {
	m.crashReports.WithLabelValues(outcome).Add(float64(reports))
}

// registerLinkDelay registers a gauge of the delay of this VM's own link.
func (m *Metrics) registerLinkDelay(delay func() time.Duration) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_link_delay_seconds",
		Help: "Round trip over this VM's own link: the shortest recent exchange with another VM."}, func() float64 { return delay().Seconds() }))
}

// registerInbound registers the metrics of clients' connections and requests.
func (m *Metrics) registerInbound(p *inbound.Pool) {
	ends := func(reason string, count func(inbound.Ends) int64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "chicory_client_ends_total", Help: "Connections of clients that were ended to keep within bounds.",
			ConstLabels: prometheus.Labels{"why": reason}}, func() float64 { return float64(count(p.State().Ends)) })
	}
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_client_connections", Help: "Open connections of clients, at all ports."},
			func() float64 { return float64(p.State().Open) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "chicory_request_bytes", Help: "Memory of requests that are being received or served."},
			func() float64 { return float64(p.State().Held) }),
		ends("crowded", func(e inbound.Ends) int64 { return e.Crowded }),
		ends("full", func(e inbound.Ends) int64 { return e.Full }),
		ends("stalled", func(e inbound.Ends) int64 { return e.Stalled }))
}

// registerIntake registers the metrics of what callers send to this router.
func (m *Metrics) registerIntake(s *intakeState) {
	gauge := func(name, help string, state func() bool) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			if state() {
				return 1
			}
			return 0
		})
	}
	m.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "chicory_caller_bytes_total", Help: "Bytes received from callers."},
			func() float64 { return float64(s.received()) }),
		gauge("chicory_overloaded", "1: callers' bytes overload this VM's own link.", s.overloaded.Load),
		gauge("chicory_accepts_new_callers", "0: overloaded while another router is not.", s.acceptsNew))
}

// Served implements forward.Metrics.
func (m *Metrics) Served(firstByte, total time.Duration) {
	m.firstByte.Observe(firstByte.Seconds())
	m.total.Observe(total.Seconds())
}

// Refused implements forward.Metrics.
func (m *Metrics) Refused(cause forward.Cause) {
	m.refused.WithLabelValues(string(cause)).Inc()
}

// Retried implements forward.Metrics.
func (m *Metrics) Retried(reason string) {
	m.retried.WithLabelValues(reason).Inc()
}

// Predicted implements forward.Metrics.
func (m *Metrics) Predicted(predicted, actual time.Duration) {
	if actual > predicted {
		m.predictions.WithLabelValues("later").Observe((actual - predicted).Seconds())
		return
	}
	m.predictions.WithLabelValues("earlier").Observe((predicted - actual).Seconds())
}

// LoadFault implements forward.Metrics.
func (m *Metrics) LoadFault(fault upstream.LoadFault) {
	m.loadFaults.WithLabelValues(string(fault)).Inc()
}

// Values of the label "outcome" of storeCalls.
const (
	outcomeAnswered = "answered"
	outcomeFailed   = "failed"
)

// CountStoreCall counts one call to the store. It is the callback of store.CountingStore.
func (m *Metrics) CountStoreCall(kind, subject string, err error) {
	outcome, key := outcomeAnswered, kind+" "+subject
	if err != nil && !errors.Is(err, store.ErrConflict) {
		outcome = outcomeFailed
		key += " " + outcomeFailed
	}
	m.storeCalls.WithLabelValues(kind, subject, outcome).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recent[key]++
}

// SetStoreEra records the era that began when the store lost writes.
func (m *Metrics) SetStoreEra(era store.Era) {
	m.storeEra.Set(float64(era))
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
	m.stale.WithLabelValues(prefix).Inc()
}

// takeRecentCalls returns the counts of calls to the store and resets them.
func (m *Metrics) takeRecentCalls() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := m.recent
	m.recent = make(map[string]int, len(recent))
	return recent
}

// storeCallLogInterval is how often the calls to the store are logged: rarely enough that the cost
// is negligible, often enough to tell the calls in an outage from those before it.
const storeCallLogInterval = 10 * time.Second

// logStoreCalls periodically logs the calls to the store, and a last time when ctx ends.
func (n *Node) logStoreCalls(ctx context.Context) {
	ticker := time.NewTicker(storeCallLogInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		var attrs []slog.Attr
		for key, count := range n.metrics.takeRecentCalls() {
			attrs = append(attrs, slog.Int(key, count))
		}
		if len(attrs) > 0 {
			n.log.Emit(event.StoreCalls, attrs...)
		}
	}
}

// maxMetricsRequests bounds the requests for metrics that are served at a time: each answer is built in memory.
const maxMetricsRequests = 3

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests}))
	return mux
}
