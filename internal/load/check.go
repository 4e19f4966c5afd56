package load

import (
	"github.com/pkg/errors"
)

// answerChecker compares an answer with the expected one as it arrives.
type answerChecker struct {
	want   Expected
	offset int
}

// add checks the next bytes of the answer. Its error wraps ErrMismatch.
func (c *answerChecker) add(content []byte) error {
	end := c.offset + len(content)
	if end > len(c.want.Text) {
		return errors.Wrapf(ErrMismatch, "%d bytes past the end of %d", end-len(c.want.Text), len(c.want.Text))
	}
	if c.want.Text[c.offset:end] != string(content) {
		return errors.Wrapf(ErrMismatch, "within bytes %d..%d", c.offset, end)
	}
	c.offset = end
	return nil
}

// finish checks the end of the answer. Its error wraps ErrTruncated or ErrMismatch.
func (c *answerChecker) finish(reason string) error {
	if c.offset < len(c.want.Text) {
		return errors.Wrapf(ErrTruncated, "at byte %d of %d", c.offset, len(c.want.Text))
	}
	if reason != c.want.FinishReason {
		return errors.Wrapf(ErrMismatch, "finish reason %q instead of %q", reason, c.want.FinishReason)
	}
	return nil
}
