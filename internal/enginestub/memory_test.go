package enginestub

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// prompt200 has 200 prompt tokens and an answer of 50.
var prompt200 = strings.Repeat("x", 200*DefaultBytesPerToken-len("len=50")) + "len=50"

// Guards against a preemption of a more urgent or an older request, and of a stream that loses
// tokens or isn't read again.
func TestNewestOfLeastUrgentIsPreempted(t *testing.T) {
	c := qt.New(t)
	s := newSteppedScheduler(Config{TokenTime: 10 * time.Millisecond, PromptTokenTime: time.Millisecond, Uneven: Uneven{MemoryTokens: 720}})
	urgent := mustSubmit(c, s, "urgent", newUserRequest(prompt200, 0, 1))
	older := mustSubmit(c, s, "older", newUserRequest(prompt200, 0, 0))
	newer := mustSubmit(c, s, "newer", newUserRequest(prompt200, 0, 0))
	s.step(startTime)
	s.step(startTime.Add(590 * time.Millisecond))
	s.step(startTime.Add(600 * time.Millisecond))
	c.Assert([]int{urgent.run.Tokens, older.run.Tokens, newer.run.Tokens}, qt.DeepEquals, []int{41, 41, 40})
	c.Assert(s.load(), qt.Equals, "2,1,64")
	s.step(startTime.Add(690 * time.Millisecond))
	s.step(startTime.Add(690 * time.Millisecond)) // 240 tokens are read until 930 ms
	c.Assert(s.load(), qt.Equals, "1,0,64")
	s.step(startTime.Add(940 * time.Millisecond))
	c.Assert(newer.run.Tokens, qt.Equals, 42)
	c.Assert([]int{urgent.run.Preemptions, older.run.Preemptions, newer.run.Preemptions}, qt.DeepEquals, []int{0, 0, 1})
}

// Guards against a request that no memory can hold and that waits for ever or is reported as run.
func TestRequestLargerThanMemoryIsRejected(t *testing.T) {
	for memory, want := range map[int]error{249: ErrTooLarge, 250: nil} {
		s := newSteppedScheduler(Config{Uneven: Uneven{MemoryTokens: memory}})
		_, err := s.submit("r", "1", newUserRequest(prompt200, 0, 0))
		qt.Check(t, err, qt.ErrorIs, want, qt.Commentf("%d", memory))
	}
	qt.Check(t, statusCode(ErrTooLarge), qt.Equals, statusCode(ErrQueueFull))
}

// Guards against an engine that goes on, or ends in another way, when it is to end by memory.
func TestEngineEndsByMemory(t *testing.T) {
	c := qt.New(t)
	crashes := 0
	cfg := Config{Uneven: Uneven{MemoryTokens: 300, ExitOutOfMemory: true}}
	s := newScheduler(cfg.withDefaults(), fixedClock, &activityLogger{}, func() { crashes++ })
	mustSubmit(c, s, "1", newUserRequest("len=200", 0, 0))
	mustSubmit(c, s, "2", newUserRequest("len=200", 0, 0))
	for range 30 {
		s.step(startTime)
	}
	c.Assert(crashes, qt.Equals, 1)
	c.Assert(s.outOfMemory && s.stopped, qt.IsTrue)
}

// Guards against more memory in use than there is, and against requests that are lost, cut short or
// started twice when they are preempted.
func TestMemoryIsNeverExceeded(t *testing.T) {
	preemptions := 0
	rapid.Check(t, func(t *rapid.T) {
		const memory = 400
		s := newSteppedScheduler(Config{Slots: 8, TokenTime: time.Millisecond, PromptTokenTime: 100 * time.Microsecond, CacheTokens: 300, Uneven: Uneven{MemoryTokens: memory}})
		var sequences []*sequence
		now := startTime
		for step := range 3000 {
			if len(sequences) < 20 && step%10 == 0 {
				prompt := fmt.Sprintf("%s len=%d", strings.Repeat("x", rapid.IntRange(0, 800).Draw(t, "prompt")), rapid.IntRange(1, 150).Draw(t, "output"))
				seq, err := s.submit("r", fmt.Sprint(step), newUserRequest(prompt, 0, rapid.IntRange(0, 2).Draw(t, "priority")))
				if err != nil {
					t.Fatal(err)
				}
				sequences = append(sequences, seq)
			}
			if len(sequences) == 20 && s.idle() {
				break
			}
			s.step(now)
			if used := s.memoryUsed() + len(s.cache.blocks)*blockTokens; used > memory {
				t.Fatalf("%d tokens in use", used)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
		}
		for _, seq := range sequences {
			if seq.run.State != RunFinished || seq.run.Tokens != len(seq.answer) {
				t.Fatalf("%+v, want %d tokens", *seq.run, len(seq.answer))
			}
			preemptions += seq.run.Preemptions
		}
		if s.starts != len(sequences) || s.outstandingTokens != 0 {
			t.Fatalf("%d starts, %d outstanding tokens", s.starts, s.outstandingTokens)
		}
	})
	qt.Assert(t, preemptions > 0, qt.IsTrue)
}

// Guards against flags that are accepted and have no effect.
func TestInvalidUnevenBehavior(t *testing.T) {
	for _, u := range []Uneven{{NonsenseShare: 0.1}, {Pace: true, NonsenseShare: math.NaN()}, {SlowBodyShare: 1.1}, {MemoryTokens: -1}, {ExitOutOfMemory: true}} {
		qt.Check(t, u.Validate(), qt.ErrorIs, ErrInvalidUneven, qt.Commentf("%+v", u))
	}
	qt.Check(t, Uneven{Pace: true, NonsenseShare: 1, SlowBodyShare: 1, MemoryTokens: 1, ExitOutOfMemory: true}.Validate(), qt.IsNil)
}
