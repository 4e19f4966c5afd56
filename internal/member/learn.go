package member

import (
	"slices"
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// learn takes in a heartbeat. A late one of a replaced incarnation is ignored
// whole: what it says of others is as old as itself.
func (v *View) learn(now time.Time, hb Heartbeat) []Action {
	vm := hb.Sender.Router.VM
	if vm == "" || vm == v.self.Router.VM {
		return nil // a seed may be this router itself
	}
	if hb.Sender.Router.Incarnation < v.highest(hb.Sender) {
		return nil
	}
	actions := v.learnInfo(now, now, hb.Sender)
	m := v.members[vm]
	if m == nil || hb.Count <= m.count {
		return actions // repeated or overtaken on the way: no fresh evidence
	}
	m.count = hb.Count
	if hb.Revision > m.peer.Revision {
		m.peer.Revision = hb.Revision
		v.fleet = nil
	}
	actions = append(actions, v.noteHeard(now, m, now)...)
	for _, report := range hb.Reports {
		actions = append(actions, v.learnReport(now, report)...)
	}
	return append(actions, v.learnSample(now, hb)...)
}

// highest is the highest incarnation known of the VM of info.
func (v *View) highest(info Info) id.Incarnation {
	vm := info.Router.VM
	if m := v.members[vm]; m != nil {
		return m.peer.Router.Incarnation
	}
	return v.gone[vm]
}

func (v *View) learnReport(now time.Time, report Report) []Action {
	heard := heardAt(now, report.Age)
	isSelf := report.Info.Router.VM == v.self.Router.VM || report.Info.Router.VM == ""
	tooOld := now.Sub(heard) >= v.cfg.SuspectAfter
	if isSelf || tooOld || report.Info.Router.Incarnation < v.highest(report.Info) {
		return nil
	}
	return v.learnInfo(now, heard, report.Info)
}

// learnInfo takes in what a router says of itself, if it is newer than what is known.
func (v *View) learnInfo(now, heard time.Time, info Info) []Action {
	known := v.members[info.Router.VM]
	switch {
	case known == nil:
		return v.add(heard, info)
	case !info.newer(known.peer.Info):
		return nil
	case info.Router.Incarnation != known.peer.Router.Incarnation:
		actions := []Action{Change{Kind: Left, Peer: known.peer}}
		v.remove(known)
		return append(actions, v.add(heard, info)...)
	}
	known.peer.Info = info
	v.index(known)
	actions := []Action{Change{Kind: Updated, Peer: known.peer}}
	return append(actions, v.noteHeard(now, known, heard)...)
}

func (v *View) add(heard time.Time, info Info) []Action {
	m := &member{peer: Peer{Info: info, hash: hashVM(info.Router.VM)}, heard: heard}
	v.members[info.Router.VM] = m
	v.order = append(v.order, m)
	v.index(m)
	delete(v.gone, info.Router.VM)
	return []Action{Change{Kind: Joined, Peer: m.peer}}
}

func (v *View) remove(m *member) {
	vm := m.peer.Router.VM
	delete(v.members, vm)
	v.order = slices.DeleteFunc(v.order, func(other *member) bool { return other == m })
	for _, digest := range m.digests {
		delete(v.byDigest, digest)
	}
	if len(v.gone) >= maxTombstones {
		clear(v.gone) // only late messages of the last minutes need them
	}
	v.gone[vm] = m.peer.Router.Incarnation
	v.fleet = nil
}

// index keeps the digest of the Info before too: peers that don't have the new one
// yet still tell of the router by it.
func (v *View) index(m *member) {
	const kept = 2
	m.digests = append(m.digests, m.peer.digest())
	for len(m.digests) > kept {
		delete(v.byDigest, m.digests[0])
		m.digests = m.digests[1:]
	}
	for _, digest := range m.digests {
		v.byDigest[digest] = m
	}
	v.fleet = nil
}

// learnSample takes in what the sender heard of others, and notes which of them
// are unknown here, to ask for them.
func (v *View) learnSample(now time.Time, hb Heartbeat) []Action {
	var actions []Action
	own := v.self.digest()
	for i, digest := range hb.Heard {
		if i >= len(hb.Ages) {
			break
		}
		if digest == own {
			continue
		}
		heard := heardAt(now, hb.Ages[i])
		m := v.byDigest[digest]
		if m != nil {
			actions = append(actions, v.noteHeard(now, m, heard)...)
			continue
		}
		fresh := now.Sub(heard) < v.cfg.SuspectAfter
		if fresh && len(v.wanted) < maxWanted && !slices.Contains(v.wanted, digest) {
			v.wanted = append(v.wanted, digest)
		}
	}
	return actions
}

// noteHeard moves the last evidence of a peer forward, never back.
func (v *View) noteHeard(now time.Time, m *member, heard time.Time) []Action {
	if heard.After(m.heard) {
		m.heard = heard
	}
	if !m.peer.Suspected || now.Sub(m.heard) >= v.cfg.SuspectAfter {
		return nil
	}
	m.peer.Suspected = false
	v.fleet = nil
	return []Action{Change{Kind: Recovered, Peer: m.peer}}
}
