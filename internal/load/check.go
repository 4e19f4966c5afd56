package load

import (
	"github.com/pkg/errors"
)

// answerCheck compares an answer with what it must be while it arrives.
type answerCheck struct {
	want     Expected
	position int
}

// add takes the next bytes of the answer. Its error wraps ErrDiffers.
func (c *answerCheck) add(content []byte) error {
	end := c.position + len(content)
	if end > len(c.want.Text) {
		return errors.Wrapf(ErrMismatch, "%d bytes past the end of %d", end-len(c.want.Text), len(c.want.Text))
	}
	if c.want.Text[c.position:end] != string(content) {
		return errors.Wrapf(ErrMismatch, "within bytes %d..%d", c.position, end)
	}
	c.position = end
	return nil
}

// finish checks the end of the answer. Its error wraps ErrTruncated or ErrDiffers.
func (c *answerCheck) finish(reason string) error {
	if c.position < len(c.want.Text) {
		return errors.Wrapf(ErrTruncated, "at byte %d of %d", c.position, len(c.want.Text))
	}
	if reason != c.want.FinishReason {
		return errors.Wrapf(ErrMismatch, "finish reason %q instead of %q", reason, c.want.FinishReason)
	}
	return nil
}
