package escrow

import (
	"log/slog"
	"maps"
	"strconv"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// The store may lose its recent writes, grants among them, when it is restored from a copy. A router
// then still knows its own grants and the records that it read before. So in a new era of the store
// each router compares what it knows with the stored records and writes back what is missing, and
// nobody draws until all routers that reach the store have had time for that. Tokens that were
// granted stay usable meanwhile.
//
// A transaction that got no answer in one era may be executed in the next, where the revisions of
// its conditions belong to other values. Each transaction therefore also has the condition that the
// marker of its era exists, and the first one in an era deletes the markers of earlier ones. An older
// transaction can then only be executed before anything else is written in the new era: on the
// records of the copy, for which it was made.

const (
	// eraKeyPrefix is followed by the number of an era; the value is one of the states below.
	eraKeyPrefix = "era/"
	// eraSettling: lost grants are written again, nobody draws. eraOpen: routers draw.
	eraSettling = "settling"
	eraOpen     = "open"
	// restoreSettleTime is how long a router doesn't draw after it noticed a new era. Another router
	// notices it up to two seconds later, when what it knows of the configuration is too old and is
	// checked, and then needs a read and a write.
	restoreSettleTime = 3 * time.Second
)

// eraMarker is what a router knows of the present era's marker.
type eraMarker struct {
	revision store.Revision // zero: it does not exist
	open     bool
	// outdated holds the keys of earlier eras' markers.
	outdated []string
}

// earlierRecord is a record as it was known in an earlier era of the store.
type earlierRecord struct {
	record Record
	// number is that of its revision in the era of the record's last write; 0 if the record was never
	// stored in this form.
	number int64
}

// RecordBase identifies the record of an earlier era that a record contains.
type RecordBase struct {
	Era    int64 `json:"era"`
	Number int64 `json:"number"` // of its revision
	// Closed and ClosedSpent are its values.
	Closed      int64 `json:"closed"`
	ClosedSpent int64 `json:"closed_spent"`
}

// contains reports whether the record was made from the earlier one or from a later one of its line.
func (r Record) contains(earlier earlierRecord) bool {
	return earlier.number > 0 && r.Base != nil && r.Base.Era == earlier.record.Era && r.Base.Number >= earlier.number
}

// base returns a reference to the record, which was stored with the revision number.
func (r Record) base(number int64) *RecordBase {
	return &RecordBase{Era: r.Era, Number: number, Closed: r.Closed, ClosedSpent: r.ClosedSpent}
}

// restored returns the record, stored with the revision number in the era, completed by what an
// earlier one shows that the store has lost. lost is false if it has lost nothing of it.
func (r Record) restored(era, number int64, earlier earlierRecord) (next Record, lost bool) {
	isCopy := r.Era < era && earlier.number > 0
	isSameLine := isCopy && r.Era == earlier.record.Era
	switch {
	case r.contains(earlier), isSameLine && number >= earlier.number:
		return r, false
	case isSameLine, isCopy && earlier.record.contains(earlierRecord{record: r, number: number}):
		next = earlier.record
		next.Base = earlier.record.base(earlier.number)
		return next, true
	}
	return r.merged(earlier), true
}

// merged returns the union of both records. It counts a grant twice rather than not at all, if it was
// closed in one of them.
func (r Record) merged(earlier earlierRecord) Record {
	next := r
	next.Entries = make(map[string]map[string]GrantEntry, len(r.Entries))
	for vm, incarnations := range r.Entries {
		next.Entries[vm] = maps.Clone(incarnations)
	}
	for vm, incarnations := range earlier.record.Entries {
		for incarnation, e := range incarnations {
			if e.Seq <= r.GrantEntry(vm, incarnation).Seq {
				continue
			}
			if next.Entries[vm] == nil {
				next.Entries[vm] = map[string]GrantEntry{}
			}
			next.Entries[vm][incarnation] = e
		}
	}
	sameLine := earlier.number > 0 && r.Base != nil && r.Base.Era == earlier.record.Era
	if sameLine {
		next.Closed += max(0, earlier.record.Closed-r.Base.Closed)
		next.ClosedSpent += max(0, earlier.record.ClosedSpent-r.Base.ClosedSpent)
	} else {
		next.Closed = max(r.Closed, earlier.record.Closed)
		next.ClosedSpent = max(r.ClosedSpent, earlier.record.ClosedSpent)
	}
	if sameLine || r.Base == nil && earlier.number > 0 {
		next.Base = earlier.record.base(earlier.number)
	}
	return next
}

// adopt takes over a record that was read with a revision. In a new era of the store it is completed by
// what is known of earlier ones, and must then be written again. The caller holds m.mu.
func (m *GrantManager) adopt(g *grant, record Record, revision store.Revision) {
	mustWrite := false
	if revision.Era() > g.revision.Era() {
		mustWrite = g.pendingRevision != noPendingWrite // it may be executed in the new era, too
		g.keepEarlier()
	}
	era, number := int64(revision.Era()), revision.Number()
	if record.Era < era && number > 0 {
		record.Base = record.base(number)
	}
	if g.earlier != nil {
		restored, lost := record.restored(era, number, *g.earlier)
		record, mustWrite = restored, mustWrite || lost
		if !lost {
			g.earlier = nil
		}
	}
	if mustWrite {
		g.pendingRevision = revision
	}
	g.applyRecord(record, revision, record.GrantEntry(m.opts.VM, m.opts.Incarnation))
}

// keepEarlier keeps the known record, which is of an era that has ended.
func (g *grant) keepEarlier() {
	switch {
	case g.earlier != nil:
		g.earlier = &earlierRecord{record: g.record} // completed, but never stored
	case g.record.TotalGranted() > 0 || len(g.record.Entries) > 0:
		g.earlier = &earlierRecord{record: g.record, number: g.revision.Number()}
	}
}

// ObserveEra tells that the store is in the given era. It may be called from any goroutine.
func (m *GrantManager) ObserveEra(era store.Era) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeEra(era)
}

// observeEra forgets what is known of the store's state if it is of an earlier era. The caller holds m.mu.
func (m *GrantManager) observeEra(era store.Era) {
	if m.eraKnown && era <= m.era {
		return
	}
	isFirst := !m.eraKnown
	m.era, m.eraKnown, m.marker = era, true, eraMarker{}
	if isFirst {
		return
	}
	m.settleUntil = m.opts.Clock().Steady + restoreSettleTime
	m.ledgerKnown = false
	for _, g := range m.grants {
		g.recordKnown = false
	}
	m.wakeUp()
}

// isSettling reports whether lost grants may still be missing from the records, so that nobody may
// draw. The caller holds m.mu.
func (m *GrantManager) isSettling() bool {
	return m.opts.Clock().Steady < m.settleUntil
}

// applyMarkers takes over the markers that a read of everything below the prefix found. A new process
// can't tell when the era began: without a marker it may just have begun. In era 0 nothing has been
// lost. The caller holds m.mu.
func (m *GrantManager) applyMarkers(items []store.Item) {
	isFirst := m.marker.revision == 0 && m.recordsReadAt == 0
	m.marker = eraMarker{}
	for _, item := range items {
		key := strings.TrimPrefix(item.Key, m.opts.Prefix)
		switch {
		case item.Key == m.eraKey():
			m.applyMarker(item)
		case strings.HasPrefix(key, eraKeyPrefix):
			m.marker.outdated = append(m.marker.outdated, item.Key)
		}
	}
	if isFirst && !m.marker.open && m.era > 0 {
		m.settleUntil = m.opts.Clock().Steady + restoreSettleTime
	}
}

// applyMarker takes over the present era's marker.
func (m *GrantManager) applyMarker(item store.Item) {
	m.marker.revision, m.marker.open = item.Revision, string(item.Value) == eraOpen
	if m.marker.open {
		m.settleUntil = 0
	}
}

func (m *GrantManager) eraKey() string {
	return m.opts.Prefix + eraKeyPrefix + strconv.FormatInt(int64(m.era), 10)
}

// bindToEra makes the transaction fail in any other era. It also writes the marker if that is missing or
// out of date. The caller holds m.mu.
func (m *GrantManager) bindToEra(d *draw) {
	key, open := m.eraKey(), !m.isSettling()
	d.txn.Conditions = append(d.txn.Conditions, store.Condition{Key: key, Revision: m.marker.revision})
	if m.marker.revision != 0 && (m.marker.open || !open) {
		return
	}
	value := eraSettling
	if open {
		value = eraOpen
	}
	d.marker = &eraMarker{open: open}
	d.txn.Puts = append(d.txn.Puts, store.Put{Key: key, Value: []byte(value)})
	d.txn.Deletes = append(d.txn.Deletes, m.marker.outdated...)
}

// applyMarkerWrite notes that a committed transaction wrote the marker.
func (m *GrantManager) applyMarkerWrite(d draw, result store.Result) {
	if d.marker != nil {
		m.marker = eraMarker{revision: result.Revision, open: d.marker.open}
	}
}

// observeConflict takes over what the items of a conflict's conditions show of the era and its marker.
// The caller holds m.mu.
func (m *GrantManager) observeConflict(current map[string]store.Item) {
	for _, item := range current {
		m.observeEra(item.Revision.Era())
	}
	if item, found := current[m.eraKey()]; found {
		m.applyMarker(item)
	} else if m.marker.revision != 0 {
		m.ledgerKnown = false // another era may have begun
	}
}

// logRestored logs that a record was written that the store had lost.
func (m *GrantManager) logRestored(g *grant) {
	m.opts.Log.Emit(event.GrantsRestored, slog.String(event.KeyBudget, g.account), slog.Int64("granted", g.granted),
		slog.Int64("given", g.record.TotalGranted()), slog.Int64("known_number", g.earlier.number), g.revision.Attr())
}
