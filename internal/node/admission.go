package node

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/admission"
	"chicorytiller.example/chicorytiller/internal/balance"
)

// newAdmission returns the node's admission controller. Paced servers are not eligible: pacing limits the
// requests to them, whatever they report.
func newAdmission(n *Node, pacer balance.Pacer) *admission.Controller {
	controller := admission.New(admission.Options{Metrics: n.metrics, Log: n.log, Eligible: func(service string) []string {
		var eligible []string
		now := time.Now()
		for _, s := range n.registry.View().ByService[service] {
			if s.AcceptsRequests(now) && !s.Status(now).InBackoff && !pacer.Paced(s) {
				eligible = append(eligible, s.Incarnation)
			}
		}
		return eligible
	}})
	n.metrics.registerLimitedServices(controller.LimitedServices)
	return controller
}
