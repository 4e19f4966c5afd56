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

func (s *Server) addRoutes() {
	s.app.Post(OutOfMemoryPath, s.handleOutOfMemory)
	s.app.Use(s.handleCommon)
	s.app.Post("/v1/chat/completions", s.handleChatCompletions)
	s.app.Get("/v1/runs", s.handleRuns)
}

// handleCommon is the middleware of all routes except RateLimitPath and OutOfMemoryPath. It copies the request ID
// to the response, rejects requests for another backend server and advertises the rate limit. It
// does nothing for requests without an ID.
func (h *httpServer) handleCommon(c *fiber.Ctx) error {
	requestID := strings.Clone(c.Get(native.HeaderRequestID))
	if requestID == "" {
		return c.Next()
	}
	c.Set(native.HeaderRequestID, requestID)
	target := c.Get(native.HeaderBackend)
	if h.id != "" && target != "" && target != h.id {
		return ErrMisdirected
	}
	return h.rateLimit.handle(c, requestID)
}

func (s *Server) handleChatCompletions(c *fiber.Ctx) error {
	req, err := parseRequest(c.Body())
	if err != nil {
		return err
	}
	requestID, attemptID := s.newIDs(strings.Clone(c.Get(native.HeaderRequestID)))
	seq, err := s.scheduler.submit(requestID, attemptID, req)
	if err != nil {
		return err
	}
	c.Set(native.HeaderLoad, s.scheduler.load())
	if !req.stream {
		return s.sendJSON(c, seq)
	}
	return s.sendStream(c, seq, lastEventID(c))
}

// lastEventID returns the ID of the last event that the caller received. Events are numbered
// from 1, so this is also the number of events to skip.
func lastEventID(c *fiber.Ctx) int {
	last, err := strconv.Atoi(c.Get(native.HeaderLastEvent))
	if err != nil {
		return 0 // missing, or not an ID of this server
	}
	return last
}

func (s *Server) handleRuns(c *fiber.Ctx) error {
	return c.JSON(s.Runs())
}

func (s *Server) sendStream(c *fiber.Ctx, seq *sequence, skipEvents int) error {
	offset := skipEvents * s.cfg.ChunkTokens
	if offset < 0 || offset > len(seq.answer) {
		s.scheduler.cancel(seq.attemptID)
		return errors.Wrapf(ErrBadRequest, "event %d of an answer of %d tokens", skipEvents, len(seq.answer))
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	response := &c.Context().Response
	response.ImmediateHeaderFlush = true
	response.SetBodyStream(&streamBody{eventReader: newEventReader(seq, offset, s.cfg.ChunkTokens), scheduler: s.scheduler}, -1)
	return nil
}

// streamBody cancels the attempt when the response is closed.
type streamBody struct {
	*eventReader
	scheduler *scheduler
}

var _ io.ReadCloser = (*streamBody)(nil)

// Close implements io.Closer.
func (b *streamBody) Close() error {
	b.scheduler.cancel(b.seq.attemptID)
	return nil
}

// sendJSON sends a non-streamed response once all tokens are generated.
func (s *Server) sendJSON(c *fiber.Ctx, seq *sequence) error {
	defer s.scheduler.cancel(seq.attemptID)
	for sent, ended := 0, false; sent < len(seq.answer); {
		if sent, ended = seq.progress.wait(sent); ended && sent < len(seq.answer) {
			return ErrUnavailable // the engine stopped before the last token
		}
	}
	c.Set(native.HeaderOutput, strconv.Itoa(len(seq.answer)))
	c.Status(http.StatusOK)
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(answerJSON(seq))
}
