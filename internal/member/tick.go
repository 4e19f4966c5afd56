package member

import (
	"cmp"
	"slices"
	"time"

	"chicorytiller.example/chicorytiller/internal/platform"
)

// tick judges silence and sends this period's heartbeats.
func (v *View) tick(now time.Time) []Action {
	// After a pause of this router itself every peer seems silent, while its
	// heartbeats may lie unread. Silence counts only from the end of the pause.
	if now.Sub(v.lastTick) > pauseFactor*v.cfg.Period {
		v.observing = now
	}
	v.lastTick = now
	v.ticks++
	actions := v.judge(now)
	addresses := v.targets()
	for _, address := range addresses {
		hb := v.heartbeat()
		hb.Wanted = v.wanted
		v.addSample(now, &hb)
		actions = append(actions, Send{Address: address, Heartbeat: hb})
	}
	v.wanted = nil // asked for in all of this period's heartbeats
	for _, m := range v.stale(now) {
		if slices.Contains(addresses, m.peer.LinkAddress) {
			continue
		}
		hb := v.heartbeat()
		hb.Probe = true
		actions = append(actions, Send{Address: m.peer.LinkAddress, Heartbeat: hb})
	}
	return actions
}

func (v *View) judge(now time.Time) []Action {
	var actions []Action
	for _, m := range slices.Clone(v.order) {
		silence := v.silence(now, m)
		if silence < v.cfg.SuspectAfter {
			continue
		}
		if !m.peer.Suspected {
			m.peer.Suspected = true
			v.fleet = nil
			actions = append(actions, Change{Kind: Suspected, Peer: m.peer})
		}
		if v.isGone(m, silence) {
			v.remove(m)
			actions = append(actions, Change{Kind: Left, Peer: m.peer})
		}
	}
	return actions
}

func (v *View) silence(now time.Time, m *member) time.Duration {
	since := m.heard
	if v.observing.After(since) {
		since = v.observing
	}
	return now.Sub(since)
}

// isGone tells whether a silent peer leaves the view. The VM list alone is no
// reason, because it lags: it may not yet have a VM that already serves.
func (v *View) isGone(m *member, silence time.Duration) bool {
	if silence >= v.cfg.ForgetAfter {
		return true
	}
	state, listed := v.listed[m.peer.Router.VM]
	return v.listRead && (!listed || state == platform.VMLeaving)
}

// targets gives the link addresses to which heartbeats with samples go.
func (v *View) targets() []string {
	alive, suspected := v.split()
	chosen := v.pick(alive, v.fanout())
	if v.ticks%suspectEvery == 0 {
		chosen = append(chosen, v.pick(suspected, 1)...)
	}
	var addresses []string
	for _, m := range chosen {
		if !slices.Contains(addresses, m.peer.LinkAddress) {
			addresses = append(addresses, m.peer.LinkAddress)
		}
	}
	// A seed is tried now and then even when the fleet is known: after a long
	// partition the two sides may have forgotten each other.
	if len(v.seeds) > 0 && (len(alive) == 0 || v.ticks%seedEvery == 0) {
		seed := v.seeds[v.random.IntN(len(v.seeds))]
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

func (v *View) fanout() int {
	if len(v.order) <= smallFleet {
		return smallFanout
	}
	return fanout
}

func (v *View) split() (alive, suspected []*member) {
	for _, m := range v.order {
		if m.peer.Suspected {
			suspected = append(suspected, m)
		} else {
			alive = append(alive, m)
		}
	}
	return alive, suspected
}

// stale gives the peers to ask directly before they would be suspected: the
// samples are random, and may leave out a live peer for long. Those asked longest
// ago come first, so that dead peers don't use up the turns of live ones.
func (v *View) stale(now time.Time) []*member {
	var stale []*member
	for _, m := range v.order {
		if !m.peer.Suspected && v.silence(now, m) >= v.cfg.SuspectAfter*staleNumerator/staleDenominator {
			stale = append(stale, m)
		}
	}
	slices.SortStableFunc(stale, func(a, b *member) int {
		if order := a.probed.Compare(b.probed); order != 0 {
			return order
		}
		return cmp.Compare(a.heard.UnixNano(), b.heard.UnixNano())
	})
	stale = stale[:min(maxStale, len(stale))]
	for _, m := range stale {
		m.probed = now
	}
	return stale
}

// pick gives up to n different members at random.
func (v *View) pick(from []*member, n int) []*member {
	rest := slices.Clone(from)
	n = min(n, len(rest))
	for i := range n {
		j := i + v.random.IntN(len(rest)-i)
		rest[i], rest[j] = rest[j], rest[i]
	}
	return rest[:n]
}

// heartbeat makes this router's next heartbeat, without news of others.
func (v *View) heartbeat() Heartbeat {
	v.count++
	return Heartbeat{Sender: v.self, Count: v.count, Revision: v.revision, Usage: v.usage}
}

// reply makes the answer to a heartbeat.
func (v *View) reply(now time.Time, to Heartbeat) Heartbeat {
	hb := v.heartbeat()
	if to.Probe {
		return hb
	}
	v.addSample(now, &hb)
	for _, digest := range to.Wanted {
		m := v.byDigest[digest]
		if m != nil && !m.peer.Suspected && len(hb.Reports) < maxReports {
			hb.Reports = append(hb.Reports, Report{Info: m.peer.Info, Age: ageAt(now, m.heard)})
		}
	}
	return hb
}

func (v *View) addSample(now time.Time, hb *Heartbeat) {
	for _, m := range v.sample() {
		if m.peer.Suspected {
			continue
		}
		hb.Heard = append(hb.Heard, m.peer.digest())
		hb.Ages = append(hb.Ages, ageAt(now, m.heard))
	}
}

// sample draws the peers of which a heartbeat tells. Of those drawn the freshest
// evidence is told, because a receiver likely has the older already; drawing first
// keeps two heartbeats from telling of the same peers.
func (v *View) sample() []*member {
	drawn := v.pick(v.order, sampleDraw)
	slices.SortFunc(drawn, func(a, b *member) int { return b.heard.Compare(a.heard) })
	return drawn[:min(sampleSize, len(drawn))]
}
