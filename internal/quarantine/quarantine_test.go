package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// testQuarantine returns a quarantine and the clock that it reads.
func testQuarantine() (*Quarantine, *time.Time) {
	now := time.Unix(1000, 0)
	return New(func() time.Time { return now }, nil), &now
}

// content returns an exchange of a request without prompt parts.
func content(hash uint64, server string) Exchange {
	return Exchange{Server: server, Features: []Feature{Content(hash)}}
}

// prompt returns an exchange of a request with the prompt parts and a content of its own.
func prompt(server string, parts ...string) Exchange {
	return Exchange{Server: server, Features: promptFeatures(server, parts...)}
}

func promptFeatures(own string, parts ...string) []Feature {
	var features []Feature
	for _, part := range parts {
		features = append(features, Part(part))
	}
	return append(features, Content(Part(own).Hash))
}

func (q *Quarantine) isHeld(f Feature) bool {
	_, held := q.Held([]Feature{f})
	return held
}

// report merges what another router saw.
func (q *Quarantine) hear(router string, exchanges ...Exchange) {
	q.Merge(router, Report{Exchanges: exchanges})
	q.Judge()
}

// Guards against a request that crashes one server after another.
func TestCrashingContentIsQuarantined(t *testing.T) {
	q, now := testQuarantine()
	q.RecordCrash(content(7, "a"))
	qt.Assert(t, q.isHeld(Content(7)), qt.IsFalse, qt.Commentf("a single crash may be a network fault"))
	q.RecordCrash(content(7, "b"))
	qt.Assert(t, q.isHeld(Content(7)), qt.IsTrue)
	qt.Assert(t, q.held[Content(7)].Servers, qt.DeepEquals, []string{"a", "b"})
	qt.Assert(t, q.isHeld(Content(8)), qt.IsFalse)
	*now = now.Add(SuspectTTL)
	qt.Assert(t, q.isHeld(Content(7)), qt.IsFalse)
	q.RecordCrash(content(7, "c"))
	qt.Assert(t, q.isHeld(Content(7)), qt.IsFalse, qt.Commentf("the earlier crashes are out of date"))
}

// Guards against a part of prompts that crashes one server after another, since no two requests with it
// are alike.
func TestCrashingPartIsQuarantined(t *testing.T) {
	q, now := testQuarantine()
	q.RecordCrash(prompt("a", "t", "bad"))
	q.RecordCrash(prompt("b", "t", "bad"))
	q.RecordBegun(promptFeatures("sound", "t", "thing"))
	qt.Assert(t, q.Count(), qt.Equals, 0)
	*now = now.Add(2 * successWindow)
	q.RecordCrash(prompt("c", "t", "bad"))
	qt.Assert(t, q.isHeld(Part("bad")), qt.IsTrue)
	qt.Assert(t, q.Count(), qt.Equals, 1, qt.Commentf("the template is sound"))
}

// Guards against sound requests that are held back since a crash breaks all exchanges of a server, not
// only the one that caused it.
func TestCrashIsExplainedOnce(t *testing.T) {
	q, _ := testQuarantine()
	for i, server := range []string{"a", "b", "c", "d"} {
		q.RecordCrash(prompt(server, "bad"))
		if i < 3 {
			q.RecordCrash(Exchange{Server: server, Features: []Feature{Part("rare"), Content(5)}})
		}
	}
	qt.Assert(t, q.isHeld(Part("bad")), qt.IsTrue)
	qt.Assert(t, q.Count(), qt.Equals, 1)
}

// Guards against streams that are held back since they were long in progress when servers crashed.
func TestLateCrashesCountLess(t *testing.T) {
	q, _ := testQuarantine()
	for _, server := range []string{"a", "b"} {
		q.RecordCrash(Exchange{Server: server, Features: []Feature{Content(7)}, Late: true})
	}
	qt.Assert(t, q.isHeld(Content(7)), qt.IsFalse)
	q.RecordCrash(Exchange{Server: "c", Features: []Feature{Content(7)}, Late: true})
	qt.Assert(t, q.isHeld(Content(7)), qt.IsTrue)
}

// Guards against a part that crashes servers late in their answers, which nobody counts.
func TestPartThatCrashesServersLateIsQuarantined(t *testing.T) {
	q, _ := testQuarantine()
	for i := range rules[KindPart].lateServers {
		qt.Assert(t, q.isHeld(Part("bad")), qt.IsFalse)
		e := prompt(fmt.Sprint("s", i), "bad")
		e.Late = true
		q.RecordBegun(e.Features)
		q.RecordCrash(e)
	}
	qt.Assert(t, q.isHeld(Part("bad")), qt.IsTrue)
}

// Guards against a sound request that is refused since one server's connections broke twice.
func TestOneServerCrashesOnce(t *testing.T) {
	q, _ := testQuarantine()
	q.RecordCrash(content(7, "a"))
	q.RecordCrash(content(7, "a"))
	q.hear("other", content(7, "a"))
	qt.Assert(t, q.isHeld(Content(7)), qt.IsFalse)
}

// Guards against crashes at different routers that nobody adds up.
func TestCrashesOfAllRoutersCount(t *testing.T) {
	q, _ := testQuarantine()
	q.RecordCrash(content(7, "a"))
	q.hear("other", content(8, "b"), content(7, "b"))
	qt.Assert(t, q.isHeld(Content(7)), qt.IsTrue)
	own := q.Report()
	qt.Assert(t, own.Exchanges, qt.DeepEquals, []Exchange{content(7, "a")}, qt.Commentf("a router reports only what it saw"))
}

// Guards against a sound part that one router holds back, though others had answers to requests with it.
func TestAnswerAtAnotherRouterClears(t *testing.T) {
	one, _ := testQuarantine()
	two, now := testQuarantine()
	crashes := []Exchange{prompt("a", "t"), prompt("b", "t"), prompt("c", "t")}
	for _, e := range crashes {
		one.RecordCrash(e)
	}
	qt.Assert(t, one.isHeld(Part("t")), qt.IsTrue)
	report := one.Report()
	two.Merge("one", report)
	two.Judge()
	qt.Assert(t, two.isHeld(Part("t")), qt.IsTrue)
	*now = now.Add(time.Minute)
	two.RecordBegun(promptFeatures("sound", "t"))
	qt.Assert(t, two.isHeld(Part("t")), qt.IsFalse)
	report = two.Report()
	one.Merge("two", report)
	one.Judge()
	qt.Assert(t, one.isHeld(Part("t")), qt.IsFalse)
}

// Guards against a sound part that is held back by a crash which becomes known later than an answer.
func TestAnswerClearsCrashReportedLater(t *testing.T) {
	q, now := testQuarantine()
	q.RecordBegun(promptFeatures("sound", "t"))
	*now = now.Add(successWindow / 2)
	q.hear("one", prompt("a", "t"), prompt("b", "t"), prompt("c", "t"))
	qt.Assert(t, q.isHeld(Part("t")), qt.IsFalse)
	*now = now.Add(successWindow)
	q.hear("two", prompt("d", "t"), prompt("e", "t"), prompt("f", "t"))
	qt.Assert(t, q.isHeld(Part("t")), qt.IsTrue)
}

// Guards against an old report that arrives late, by another way, and replaces a newer one.
func TestOlderReportIsNoNews(t *testing.T) {
	q, _ := testQuarantine()
	newer := Report{Serial: 2, Exchanges: []Exchange{content(7, "a"), content(7, "b")}}
	qt.Assert(t, q.Merge("other", newer), qt.IsTrue)
	qt.Assert(t, q.Merge("other", newer), qt.IsFalse)
	qt.Assert(t, q.Merge("other", Report{Serial: 1}), qt.IsFalse)
	q.Judge()
	qt.Assert(t, q.isHeld(Content(7)), qt.IsTrue)
}

// Guards against a report that still counts after its router took it back.
func TestReportIsReplaced(t *testing.T) {
	q, _ := testQuarantine()
	q.hear("other", content(7, "a"), content(7, "b"))
	qt.Assert(t, q.isHeld(Content(7)), qt.IsTrue)
	q.hear("other", content(7, "a"))
	qt.Assert(t, q.isHeld(Content(7)), qt.IsFalse)
}

// Guards against a sound request that stays refused after a network fault broke its exchanges.
func TestCrashOfServerThatSurvivedIsDismissed(t *testing.T) {
	q, _ := testQuarantine()
	q.RecordCrash(content(7, "a"))
	q.hear("other", content(7, "b"))
	before := q.Report().Serial
	q.DismissSurvived(func(server string, _ time.Time) fleet.Fate {
		if server == "a" {
			return fleet.FateSurvived
		}
		return fleet.FateUnknown
	})
	qt.Assert(t, q.isHeld(Content(7)), qt.IsFalse)
	own := q.Report()
	qt.Assert(t, own.Exchanges, qt.HasLen, 0)
	qt.Assert(t, own.Survivors, qt.DeepEquals, []string{"a"})
	qt.Assert(t, own.Serial > before, qt.IsTrue, qt.Commentf("the record has to be written again"))
	q.hear("third", content(7, "a"))
	qt.Assert(t, q.isHeld(Content(7)), qt.IsFalse, qt.Commentf("another router's old report"))
	q.hear("third", content(7, "c"))
	qt.Assert(t, q.isHeld(Content(7)), qt.IsTrue)
}

// Guards against a crash that is dismissed since the server had survived an earlier break.
func TestCrashAfterSurvivalCounts(t *testing.T) {
	q, now := testQuarantine()
	broken := *now
	q.RecordCrash(content(7, "a"))
	*now = now.Add(time.Minute)
	q.RecordCrash(content(8, "a"))
	q.RecordCrash(content(8, "b"))
	q.DismissSurvived(func(_ string, since time.Time) fleet.Fate {
		if since.Equal(broken) {
			return fleet.FateSurvived
		}
		return fleet.FateUnknown
	})
	qt.Assert(t, q.isHeld(Content(8)), qt.IsTrue)
}

// Guards against sound requests that are held back for seconds after connections were reset, though the
// servers go on answering.
func TestServerThatAnswersAgainDidNotCrash(t *testing.T) {
	q, now := testQuarantine()
	other, _ := testQuarantine()
	q.RecordCrash(content(7, "a"))
	q.RecordCrash(content(7, "b"))
	other.hear("one", content(7, "a"), content(7, "b"))
	brokenAt := *now
	*now = now.Add(minRestartTime / 2)
	q.RecordAlive("a", brokenAt.Add(-time.Millisecond))
	qt.Assert(t, q.isHeld(Content(7)), qt.IsTrue, qt.Commentf("the request was sent before the crash"))
	q.RecordAlive("a", brokenAt.Add(time.Millisecond))
	qt.Assert(t, q.isHeld(Content(7)), qt.IsFalse)
	report := q.Report()
	other.Merge("two", report)
	other.Judge()
	qt.Assert(t, other.isHeld(Content(7)), qt.IsFalse)
}

// Guards against an answer of a restarted server that is taken for proof that it did not crash.
func TestAnswerAfterRestartIsNoProof(t *testing.T) {
	q, now := testQuarantine()
	q.RecordCrash(content(7, "a"))
	q.RecordCrash(content(7, "b"))
	*now = now.Add(minRestartTime)
	q.RecordAlive("a", *now)
	qt.Assert(t, q.isHeld(Content(7)), qt.IsTrue)
}

// Guards against a check of all crashes against all servers each second, long after a fault that
// ended many servers.
func TestFateOfServerIsAskedUntilItIsKnown(t *testing.T) {
	q, _ := testQuarantine()
	q.RecordCrash(content(7, "a"))
	q.RecordCrash(content(7, "b"))
	asked := 0
	fate := fleet.FateUnknown
	fateOf := func(string, time.Time) fleet.Fate {
		asked++
		return fate
	}
	q.DismissSurvived(fateOf)
	qt.Assert(t, asked, qt.Equals, 2)
	fate = fleet.FateEnded
	q.DismissSurvived(fateOf)
	qt.Assert(t, asked, qt.Equals, 4)
	q.DismissSurvived(fateOf)
	qt.Assert(t, asked, qt.Equals, 4)
	qt.Assert(t, q.isHeld(Content(7)), qt.IsTrue)
}

// Guards against a sound request that is refused since it ran on servers that another one crashed.
func TestSuccessClearsContent(t *testing.T) {
	q, _ := testQuarantine()
	q.RecordCrash(content(7, "a"))
	q.RecordWhole([]Feature{Content(7)})
	q.RecordCrash(content(7, "b"))
	q.hear("other", content(7, "a"))
	qt.Assert(t, q.isHeld(Content(7)), qt.IsFalse)
}

// Guards against an answer without a length that a crash cut off between two events and that counts as
// whole, so that the crash clears the request which caused it.
func TestAnswerThatEndedWithItsServerIsNoSuccess(t *testing.T) {
	q, now := testQuarantine()
	for _, server := range []string{"a", "b", "c"} {
		q.RecordUnframedEnd(prompt(server, "bad"))
		*now = now.Add(minRestartTime / 2)
		q.RecordUnreachable(server)
		*now = now.Add(time.Minute)
	}
	qt.Assert(t, q.isHeld(Part("bad")), qt.IsTrue)
}

// Guards against answers without a length that never clear a sound part.
func TestAnswerThatEndedBeforeAnotherBeganIsWhole(t *testing.T) {
	q, now := testQuarantine()
	q.hear("other", prompt("a", "t"), prompt("b", "t"), prompt("c", "t"))
	qt.Assert(t, q.isHeld(Part("t")), qt.IsTrue)
	q.RecordUnframedEnd(prompt("d", "t"))
	qt.Assert(t, q.isHeld(Part("t")), qt.IsTrue)
	q.RecordAlive("d", now.Add(time.Millisecond))
	q.Judge()
	qt.Assert(t, q.isHeld(Part("t")), qt.IsFalse)
}

// Guards against a request with a guilty part that goes on to crash the server at which it waits.
func TestWaitingRequestIsCancelled(t *testing.T) {
	q, _ := testQuarantine()
	cancelled := make(map[string]bool)
	watch := func(name string, features ...Feature) (stop func()) {
		return q.Watch(features, func() { cancelled[name] = true })
	}
	watch("bad", Part("t"), Part("bad"))
	watch("sound", Part("t"))
	watch("begun", Part("bad"))()
	q.hear("other", prompt("a", "bad"), prompt("b", "bad"), prompt("c", "bad"))
	qt.Assert(t, cancelled, qt.DeepEquals, map[string]bool{"bad": true})
}

// Guards against a part that was blamed wrongly and stays held back, since no request with it is sent that
// could clear it.
func TestHeldPartIsTriedAgain(t *testing.T) {
	q, now := testQuarantine()
	elected := func() bool { return true }
	trialDelay := rules[KindPart].trialDelay
	q.hear("other", prompt("a", "t"), prompt("b", "t"), prompt("c", "t"))
	qt.Assert(t, q.TryAgain(Part("t"), elected), qt.IsFalse)
	*now = now.Add(trialDelay)
	qt.Assert(t, q.TryAgain(Part("t"), func() bool { return false }), qt.IsFalse)
	qt.Assert(t, q.TryAgain(Part("t"), elected), qt.IsTrue)
	qt.Assert(t, q.TryAgain(Part("t"), elected), qt.IsFalse, qt.Commentf("one at a time"))
	q.RecordCrash(prompt("d", "t"))
	*now = now.Add(trialDelay)
	qt.Assert(t, q.TryAgain(Part("t"), elected), qt.IsFalse, qt.Commentf("each further crash makes trials rarer"))
	*now = now.Add((trialFactor - 1) * trialDelay)
	qt.Assert(t, q.TryAgain(Part("t"), elected), qt.IsTrue)
	q.RecordBegun(promptFeatures("trial", "t"))
	qt.Assert(t, q.isHeld(Part("t")), qt.IsFalse)
}

// Guards against unbounded memory and records when many connections break at once and many harmless
// requests become suspects.
func TestSuspectsAreBounded(t *testing.T) {
	q, now := testQuarantine()
	for hash := range uint64(4 * maxOwn) {
		*now = now.Add(time.Millisecond)
		q.RecordCrash(content(hash, "a"))
		q.RecordBegun([]Feature{Content(hash + 1<<20)})
	}
	qt.Assert(t, len(q.own) <= maxOwn, qt.IsTrue)
	qt.Assert(t, len(q.successes.begun) <= maxSuccesses+1, qt.IsTrue)
	*now = now.Add(judgeInterval)
	q.RecordCrash(content(1<<40, "a"))
	own := q.Report()
	qt.Assert(t, own.Exchanges, qt.HasLen, maxPublished)
	qt.Assert(t, own.Exchanges[0].Features[0], qt.Equals, Content(1<<40), qt.Commentf("the latest come first"))
}

// Guards against a part that is released, and crashes servers again, since later crashes push its evidence
// out of the reports.
func TestEvidenceOfHeldPartIsKept(t *testing.T) {
	q, now := testQuarantine()
	for _, server := range []string{"a", "b", "c"} {
		q.RecordCrash(prompt(server, "bad"))
	}
	qt.Assert(t, q.isHeld(Part("bad")), qt.IsTrue)
	for hash := range uint64(2 * maxOwn) {
		*now = now.Add(time.Millisecond)
		q.RecordCrash(content(hash, "d"))
	}
	*now = now.Add(judgeInterval)
	other, _ := testQuarantine()
	other.Merge("one", q.Report())
	other.Judge()
	qt.Assert(t, q.isHeld(Part("bad")), qt.IsTrue)
	qt.Assert(t, other.isHeld(Part("bad")), qt.IsTrue)
}

// Guards against a crash of a server with many exchanges, of which the guilty one is not reported.
func TestReportUnitesPartsOfOneCrash(t *testing.T) {
	q, _ := testQuarantine()
	for i := range 4 * maxPublished {
		q.RecordCrash(prompt("a", "t", "bad"))
		q.RecordCrash(Exchange{Server: "a", Features: promptFeatures(fmt.Sprint("own", i), "t", fmt.Sprint("g", i%8))})
		q.RecordCrash(Exchange{Server: "a", Features: promptFeatures(fmt.Sprint("rare", i), "t", fmt.Sprint("rare", i))})
	}
	report := q.Report()
	qt.Assert(t, report.Exchanges, qt.HasLen, maxPublished)
	first := report.Exchanges[0].Features
	qt.Assert(t, first, qt.HasLen, maxUnited+1)
	qt.Assert(t, first[0], qt.Equals, Part("t"))
	for i := range 8 {
		qt.Assert(t, first, qt.Contains, Part(fmt.Sprint("g", i)))
	}
}

// Guards against evidence that seems new, and never expires, since its report has changed in another part.
func TestChangedReportKeepsAgeOfEvidence(t *testing.T) {
	q, now := testQuarantine()
	start := *now
	report := func(parts ...string) {
		q.Merge("other", Report{Exchanges: []Exchange{prompt("a", parts...)}})
	}
	report("t")
	*now = now.Add(time.Minute)
	q.RecordBegun(promptFeatures("sound", "g"))
	report("t", "g")
	known := q.others["other"].sightings
	qt.Assert(t, known, qt.HasLen, 1)
	qt.Assert(t, known[0].at, qt.Equals, start)
	qt.Assert(t, known[0].hasParts(), qt.IsTrue)
	qt.Assert(t, q.clearances[Part("g")].covers("a", false), qt.IsTrue, qt.Commentf("a feature that is news is cleared by a recent answer"))
	qt.Assert(t, q.clearances[Part("t")].covers("a", false), qt.IsFalse)
}

// Guards against a template that is blamed for crashes of a part, since the guilty exchange of one crash is
// not known.
func TestMoreSpecificPartIsBlamedFirst(t *testing.T) {
	q, now := testQuarantine()
	for i := range 5 {
		server := fmt.Sprint("s", i)
		if i > 0 {
			q.RecordCrash(prompt(server, "t", "bad"))
		}
		q.RecordCrash(Exchange{Server: server, Features: promptFeatures(server+"sound", "t", fmt.Sprint("g", i))})
		*now = now.Add(2 * successWindow)
	}
	qt.Assert(t, q.isHeld(Part("bad")), qt.IsTrue)
	qt.Assert(t, q.Count(), qt.Equals, 1)
}

// Guards against a change that no other router is told of.
func TestChangesAreSignalled(t *testing.T) {
	q, _ := testQuarantine()
	q.RecordCrash(content(7, "a"))
	q.RecordCrash(content(7, "b"))
	q.Judge()
	select {
	case <-q.Changed():
	default:
		t.Fatal("no signal")
	}
	q.hear("other", content(7, "c"))
	select {
	case <-q.Changed():
		t.Fatal("signal for what another router saw")
	default:
	}
}

// Guards against a change of what is held back that the log doesn't tell.
func TestChangesAreTold(t *testing.T) {
	var held, released []Feature
	now := time.Unix(1000, 0)
	q := New(func() time.Time { return now }, func(c Change) {
		for _, blame := range c.Held {
			held = append(held, blame.Feature)
		}
		released = append(released, c.Released...)
	})
	q.hear("other", content(7, "a"), content(7, "b"))
	qt.Assert(t, held, qt.DeepEquals, []Feature{Content(7)})
	q.RecordBegun([]Feature{Content(7)})
	q.Judge()
	qt.Assert(t, released, qt.DeepEquals, []Feature{Content(7)})
}
