package load

import (
	"slices"

	"github.com/pkg/errors"
)

// answerChecker compares an answer with the expected ones as it arrives.
type answerChecker struct {
	finishReason string
	texts        []string // those that begin as the answer does
	offset       int
}

func newAnswerChecker(want Expected) *answerChecker {
	return &answerChecker{finishReason: want.FinishReason, texts: append([]string{want.Text}, want.OtherTexts...)}
}

// add checks the next bytes of the answer. Its error wraps ErrMismatch.
func (c *answerChecker) add(content []byte) error {
	end := c.offset + len(content)
	matching := slices.DeleteFunc(slices.Clone(c.texts), func(text string) bool {
		return end > len(text) || text[c.offset:end] != string(content)
	})
	if len(matching) == 0 {
		return errors.Wrapf(ErrMismatch, "within bytes %d..%d of %d", c.offset, end, len(c.texts[0]))
	}
	c.texts, c.offset = matching, end
	return nil
}

// finish checks the end of the answer. Its error wraps ErrTruncated or ErrMismatch.
func (c *answerChecker) finish(reason string) error {
	if !slices.ContainsFunc(c.texts, func(text string) bool { return len(text) == c.offset }) {
		return errors.Wrapf(ErrTruncated, "at byte %d of %d", c.offset, len(c.texts[0]))
	}
	if reason != c.finishReason {
		return errors.Wrapf(ErrMismatch, "finish reason %q instead of %q", reason, c.finishReason)
	}
	return nil
}
