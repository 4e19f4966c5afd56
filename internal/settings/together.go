package settings

// minHeartbeatsMissed is how many heartbeats must fit into suspect_after: with
// fewer, one lost message and one late one would make a live peer suspected.
const minHeartbeatsMissed = 4

// rule is a condition over several keys. It is judged only if each of them is
// right by itself, so that one mistake gives one line.
type rule struct {
	keys    []string // "section.key"; the fault is told of the first
	fault   Fault
	holding func(r *Router) bool
}

func rules() []rule {
	return []rule{
		tlsPair("callers", func(r *Router) TLS { return r.Callers.TLS }),
		tlsPair("operators", func(r *Router) TLS { return r.Operators.TLS }),
		tlsPair("peers", func(r *Router) TLS { return r.Peers.TLS }),
		{
			keys: []string{"peers.tls_ca", "peers.tls_certificate"},
			fault: Fault{Section: "peers", Key: "tls_ca",
				Problem: "want tls_ca, tls_certificate and tls_key all set (mutual TLS) or none of them"},
			holding: func(r *Router) bool { return (r.Peers.TLSCA == "") == (r.Peers.TLS.Certificate == "") },
		},
		{
			keys: []string{"operators.listen", "callers.listen"},
			fault: Fault{Section: "operators", Key: "listen",
				Problem: "the same port as [callers] listen; want another port"},
			holding: func(r *Router) bool { return r.Operators.Listen.Port() != r.Callers.Listen.Port() },
		},
		{
			keys: []string{"peers.listen", "callers.listen", "operators.listen"},
			fault: Fault{Section: "peers", Key: "listen",
				Problem: "the same port as [callers] or [operators] listen; want another port"},
			holding: func(r *Router) bool {
				port := r.Peers.Listen.Port()
				return port != r.Callers.Listen.Port() && port != r.Operators.Listen.Port()
			},
		},
		{
			keys: []string{"peers.suspect_after", "peers.heartbeat"},
			fault: Fault{Section: "peers", Key: "suspect_after",
				Problem: "too short; want at least 4 times [peers] heartbeat"},
			holding: func(r *Router) bool { return r.Peers.SuspectAfter >= minHeartbeatsMissed*r.Peers.Heartbeat },
		},
		{
			keys: []string{"budgets.min_grant", "budgets.max_grant"},
			fault: Fault{Section: "budgets", Key: "min_grant",
				Problem: "more than max_grant; want at most [budgets] max_grant"},
			holding: func(r *Router) bool { return r.Budgets.MinGrant <= r.Budgets.MaxGrant },
		},
		{
			keys: []string{"drain.linger", "callers.entry_ttl"},
			fault: Fault{Section: "drain", Key: "linger",
				Problem: "shorter than callers keep an address; want at least [callers] entry_ttl"},
			holding: func(r *Router) bool { return r.Drain.Linger >= r.Callers.EntryTTL },
		},
	}
}

func tlsPair(section string, files func(*Router) TLS) rule {
	return rule{
		keys: []string{section + ".tls_key", section + ".tls_certificate"},
		fault: Fault{Section: section, Key: "tls_key",
			Problem: "want tls_certificate and tls_key both set (TLS) or neither"},
		holding: func(r *Router) bool { return (files(r).Key == "") == (files(r).Certificate == "") },
	}
}

func checkTogether(r *Router, found Faults) Faults {
	var faults Faults
	for _, rule := range rules() {
		if !found.has(rule.keys...) && !rule.holding(r) {
			faults = append(faults, rule.fault)
		}
	}
	return faults
}
