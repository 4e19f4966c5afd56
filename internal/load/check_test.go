package load

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against answers joined from two versions of a server's software that pass for whole ones.
func TestAnswerJoinedFromTwoVersionsIsNoticed(t *testing.T) {
	c := qt.New(t)
	want := Expected{Text: "one two three", OtherTexts: []string{"one 222 333"}, FinishReason: "stop"}
	for _, whole := range []string{want.Text, want.OtherTexts[0]} {
		checker := newAnswerChecker(want)
		c.Assert(checker.add([]byte(whole[:4])), qt.IsNil)
		c.Assert(checker.add([]byte(whole[4:])), qt.IsNil)
		c.Assert(checker.finish("stop"), qt.IsNil)
	}
	checker := newAnswerChecker(want)
	c.Assert(checker.add([]byte("one two ")), qt.IsNil)
	c.Assert(checker.add([]byte("333")), qt.ErrorIs, ErrMismatch)
	c.Assert(checker.finish("stop"), qt.ErrorIs, ErrTruncated)
}
