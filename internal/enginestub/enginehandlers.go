package enginestub

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/native"
)

func (s *Server) routes() {
	s.app.Use(s.accept)
	s.app.Post("/v1/chat/completions", s.handleGenerate)
	s.app.Get("/v1/runs", s.handleRuns)
}

// accept answers under the request's id, tells the load, and rejects what is meant
// for another backend server.
func (h *httpServer) accept(c *fiber.Ctx) error {
	request := strings.Clone(c.Get(native.HeaderRequestID))
	if request == "" {
		return c.Next()
	}
	c.Set(native.HeaderRequestID, request)
	meant := c.Get(native.HeaderBackend)
	if h.id != "" && meant != "" && meant != h.id {
		return ErrMisdirected
	}
	return h.limit.handle(c, request)
}

func (s *Server) handleGenerate(c *fiber.Ctx) error {
	req, err := parseRequest(c.Body())
	if err != nil {
		return err
	}
	requestID, attemptID := s.name(strings.Clone(c.Get(native.HeaderRequestID)))
	seq, err := s.scheduler.submit(requestID, attemptID, req)
	if err != nil {
		return err
	}
	c.Set(native.HeaderLoad, s.scheduler.load())
	if !req.stream {
		return s.answerWhole(c, seq)
	}
	return s.answerStream(c, seq, firstEvent(c))
}

// firstEvent is how many events the caller has already.
func firstEvent(c *fiber.Ctx) int {
	last, err := strconv.Atoi(c.Get(native.HeaderLastEvent))
	if err != nil {
		return 0 // none given, or none that this server gave
	}
	return last
}

func (s *Server) handleRuns(c *fiber.Ctx) error {
	return c.JSON(s.Runs())
}

func (s *Server) answerStream(c *fiber.Ctx, seq *sequence, events int) error {
	offset := events * s.cfg.ChunkTokens
	if offset < 0 || offset > len(seq.answer) {
		s.scheduler.cancel(seq.attemptID)
		return errors.Wrapf(ErrBadRequest, "event %d of an answer of %d tokens", events, len(seq.answer))
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	response := &c.Context().Response
	response.ImmediateHeaderFlush = true
	response.SetBodyStream(&streamBody{eventReader: newEventReader(seq, offset, s.cfg.ChunkTokens), engine: s.scheduler}, -1)
	return nil
}

// streamBody frees the engine when its reader has left.
type streamBody struct {
	*eventReader
	engine *scheduler
}

var _ io.ReadCloser = (*streamBody)(nil)

// Close implements io.Closer.
func (b *streamBody) Close() error {
	b.engine.cancel(b.seq.attemptID)
	return nil
}

// answerWhole answers in one piece, once all tokens are there.
func (s *Server) answerWhole(c *fiber.Ctx, seq *sequence) error {
	defer s.scheduler.cancel(seq.attemptID)
	for sent, ended := 0, false; sent < len(seq.answer); {
		if sent, ended = seq.progress.wait(sent); ended && sent < len(seq.answer) {
			return ErrUnavailable // stopped in the middle
		}
	}
	c.Set(native.HeaderOutput, strconv.Itoa(len(seq.answer)))
	c.Status(http.StatusOK)
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(wholeAnswer(seq))
}
