package enginestub

import (
	"encoding/json"
	"net/url"
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
)

// Headers by which a router names its work.
const (
	headerRequestID = "X-Request-Id"
	headerAttemptID = "X-Attempt-Id"
)

func (s *Server) routes() {
	s.app.Post("/v1/chat/completions", s.handleGenerate)
	s.app.Get("/v1/streams/:attempt", s.handleResume)
	s.app.Delete("/v1/streams/:attempt", s.handleCancel)
	s.app.Get("/v1/load", s.handleLoad)
	s.app.Get("/v1/runs", s.handleRuns)
	s.app.Post("/v1/orders", s.handleOrder)
}

func (s *Server) handleGenerate(c *fiber.Ctx) error {
	req, err := parseRequest(c.Body())
	if err != nil {
		return err
	}
	if !req.stream {
		return errors.Wrap(ErrBadRequest, "only streamed answers are given")
	}
	requestID := s.headerOr(c, headerRequestID)
	attemptID := s.headerOr(c, headerAttemptID)
	seq, err := s.scheduler.submit(requestID, attemptID, req)
	if err != nil {
		return err
	}
	return s.answerStream(c, seq, 0)
}

func (s *Server) handleResume(c *fiber.Ctx) error {
	seq, err := s.stream(c)
	if err != nil {
		return err
	}
	offset := c.QueryInt("offset", 0)
	if offset < 0 || offset > len(seq.answer) {
		return errors.Wrapf(ErrBadRequest, "offset %d of %d tokens", offset, len(seq.answer))
	}
	return s.answerStream(c, seq, offset)
}

func (s *Server) handleCancel(c *fiber.Ctx) error {
	attempt, err := attemptParam(c)
	if err != nil {
		return err
	}
	err = s.scheduler.cancel(attempt)
	if err != nil {
		return err
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) handleLoad(c *fiber.Ctx) error {
	return c.JSON(s.scheduler.loadReport())
}

func (s *Server) handleRuns(c *fiber.Ctx) error {
	return c.JSON(s.Runs())
}

func (s *Server) handleOrder(c *fiber.Ctx) error {
	var order Order
	err := json.Unmarshal(c.Body(), &order)
	if err != nil {
		return errors.Wrap(ErrBadRequest, err.Error())
	}
	err = s.orders.take(order)
	if err != nil {
		return err
	}
	return c.JSON(order)
}

// answerStream sends the head of the answer at once, so that the caller knows
// that the request was accepted, and then the chunks as they are made.
func (s *Server) answerStream(c *fiber.Ctx, seq *sequence, offset int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	response := &c.Context().Response
	response.ImmediateHeaderFlush = true
	response.SetBodyStream(newEventReader(seq, offset, s.cfg.ChunkTokens), -1)
	return nil
}

func (s *Server) stream(c *fiber.Ctx) (*sequence, error) {
	attempt, err := attemptParam(c)
	if err != nil {
		return nil, err
	}
	return s.scheduler.find(attempt)
}

func attemptParam(c *fiber.Ctx) (string, error) {
	attempt, err := url.PathUnescape(c.Params("attempt"))
	if err != nil {
		return "", errors.Wrap(ErrBadRequest, err.Error())
	}
	return attempt, nil
}

// headerOr copies a header, as fiber reuses its memory after the request.
func (s *Server) headerOr(c *fiber.Ctx, name string) string {
	value := strings.Clone(c.Get(name))
	if value == "" {
		return s.nextUnnamed()
	}
	return value
}
