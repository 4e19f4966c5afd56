package quarantine

import (
	"fmt"
	"testing"
	"time"

	"chicorytiller.example/chicorytiller/internal/store"
)

// fullReport returns a report of the largest size.
func fullReport(router int) Report {
	r := Report{Serial: 1}
	for i := range maxPublished {
		r.Exchanges = append(r.Exchanges, prompt(fmt.Sprintf("i-%010x@10.3.64.%d:8145@1700000000000", i%12, i), fmt.Sprint("t", i%4), fmt.Sprint("g", router, i), fmt.Sprint("s", router, i)))
	}
	for i := range maxCleared {
		c := Clearance{Feature: Part(fmt.Sprint("t", i))}
		for server := range maxClearedServers {
			c.Servers = append(c.Servers, fmt.Sprintf("i-%010x@10.3.64.%d:8145@1700000000000", server, i))
		}
		r.Cleared = append(r.Cleared, c)
	}
	return r
}

// fullQuarantine returns a quarantine that has judged full reports of as many routers.
func fullQuarantine(routers int) *Quarantine {
	q, now := testQuarantine()
	for i := range routers {
		*now = now.Add(time.Millisecond)
		q.Merge(fmt.Sprint("r", i), fullReport(i))
	}
	q.Judge()
	return q
}

// BenchmarkJudge measures one judgement with full reports of all routers of a fleet.
func BenchmarkJudge(b *testing.B) {
	for _, routers := range []int{9, 440} {
		b.Run(fmt.Sprint(routers, " routers"), func(b *testing.B) {
			q := fullQuarantine(routers)
			b.ResetTimer()
			for range b.N {
				q.judge()
			}
		})
	}
}

// BenchmarkAnswer measures what an answer costs while there is evidence, and while there is none.
func BenchmarkAnswer(b *testing.B) {
	for _, routers := range []int{0, 440} {
		b.Run(fmt.Sprint(routers, " reports"), func(b *testing.B) {
			q := fullQuarantine(routers)
			features := promptFeatures("own", "x", "y", "z")
			b.ResetTimer()
			for range b.N {
				q.Held(features)
				q.RecordAlive("a", q.now())
				q.RecordBegun(features)
				q.RecordWhole(features)
			}
		})
	}
}

// BenchmarkReportSize measures the stored form of the largest report.
func BenchmarkReportSize(b *testing.B) {
	size := 0
	for range b.N {
		size = len(store.Item{Value: NewRecord("edge-dodoma-a-1", fullReport(1)).Encode()}.Value)
	}
	b.ReportMetric(float64(size), "bytes")
}
