package control

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"chicorytiller.example/chicorytiller/internal/event"
)

// Metrics counts what the control goroutine does.
type Metrics struct {
	steps      prometheus.Counter
	events     *prometheus.CounterVec
	invariants prometheus.Counter
}

// NewMetrics registers the metrics of the control goroutine.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		steps: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chicory_control_steps_total", Help: "Steps of the decision core."}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chicory_events_total", Help: "Numbered events, see docs/EVENTS.md."}, []string{"event"}),
		invariants: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chicory_invariants_broken_total", Help: "Invariants found broken; must stay 0."}),
	}
	r.MustRegister(m.steps, m.events, m.invariants)
	return m
}

func (m *Metrics) stepped() {
	m.steps.Inc()
}

func (m *Metrics) count(n event.Number) {
	m.events.WithLabelValues(strconv.Itoa(int(n))).Inc()
	if n == event.InvariantBroken {
		m.invariants.Inc()
	}
}
