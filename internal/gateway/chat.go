package gateway

import (
	"github.com/gofiber/fiber/v2"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
)

// chatCall is a chat completion that passed all checks of the gateway.
type chatCall struct {
	call
	chatRequest
	promptTokens id.Tokens // upper bound
	maxTokens    id.Tokens // output cap
}

// chat answers POST /v1/chat/completions.
func (s *Server) chat(c *fiber.Ctx) error {
	request, err := s.newChatCall(c)
	if err != nil {
		return err
	}
	ctx, cancel := s.context(request.call)
	admission, err := s.gate.Admit(ctx, request.admitRequest())
	if err != nil {
		defer cancel()
		return admitRefusal(ctx, err, request.call)
	}
	if admission.Replay != nil {
		// The earlier run has been settled: a replay holds no reservation.
		defer cancel()
		return s.replayChat(c, request, admission)
	}
	run := s.newChatRun(ctx, cancel, request, admission)
	if request.Stream {
		return s.answerStream(c, run)
	}
	return s.answerWhole(c, run)
}

func (s *Server) newChatCall(c *fiber.Ctx) (chatCall, error) {
	common, err := s.newCall(c)
	if err != nil {
		return chatCall{}, err
	}
	limits := parseLimits{messages: s.config.MaxMessages, maxOutputAsked: s.config.MaxOutputAsked}
	parsed, err := parseChat(common.body, limits)
	if err != nil {
		return chatCall{}, err
	}
	model, known := common.snapshot.Models[parsed.Model]
	if !known {
		return chatCall{}, refuse(core.CauseUnknownModel, fieldModel, "the model %q does not exist", parsed.Model)
	}
	if !common.contract.AllowsModel(parsed.Model) {
		return chatCall{}, refuse(core.CauseNotAllowed, fieldModel, "the contract does not allow the model %q", parsed.Model)
	}
	prompt := promptBound(parsed.ContentBytes, model)
	if prompt >= model.ContextTokens {
		return chatCall{}, refuse(core.CauseTooLarge, fieldMessages,
			"the messages take up to %d tokens, the model's context has %d", prompt, model.ContextTokens)
	}
	return chatCall{
		call:         common,
		chatRequest:  parsed,
		promptTokens: prompt,
		maxTokens:    outputCap(id.Tokens(parsed.MaxTokens), common.contract.MaxTokens, model.ContextTokens-prompt),
	}, nil
}

// promptBound is the most tokens that the contents can make.
func promptBound(contentBytes int64, model contract.Model) id.Tokens {
	perToken := int64(max(model.BytesPerToken, 1))
	return id.Tokens((contentBytes + perToken - 1) / perToken)
}

// outputCap is the least of the caps that are set; left is always set.
func outputCap(asked, contracted, left id.Tokens) id.Tokens {
	limit := left
	if contracted > 0 {
		limit = min(limit, contracted)
	}
	if asked > 0 {
		limit = min(limit, asked)
	}
	return limit
}

func (r chatCall) admitRequest() core.AdmitRequest {
	return core.AdmitRequest{
		Account:        r.contract.Account,
		Model:          r.Model,
		IdempotencyKey: r.idempotencyKey,
		BodyHash:       r.bodyHash,
		PromptTokens:   r.promptTokens,
		MaxTokens:      r.maxTokens,
		Deadline:       r.deadline,
	}
}

// answerWhole answers a completion that isn't streamed.
func (s *Server) answerWhole(c *fiber.Ctx, run *chatRun) error {
	defer run.release()
	if err := run.complete(); err != nil {
		return err
	}
	s.metrics.answered(kindChat)
	c.Set(headerRequestID, string(run.head.ID))
	return s.sendWhole(c, run.head, string(run.text), run.finishReason, run.usage)
}

func (s *Server) sendWhole(c *fiber.Ctx, head answerHead, text, finishReason string, usage backend.Usage) error {
	head.Object = objectCompletion
	body, err := marshal(wholeAnswer(head, text, finishReason, usage))
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(body)
}

// replayChat answers from an earlier run under the same idempotency key.
func (s *Server) replayChat(c *fiber.Ctx, request chatCall, admission core.Admission) error {
	answer := admission.Replay
	s.metrics.replayed(kindChat)
	head := newHead(admission.Request, objectChunk, request.Model, request.arrived)
	c.Set(headerRequestID, string(head.ID))
	if !request.Stream {
		return s.sendWhole(c, head, answer.Content, answer.FinishReason, answer.Usage)
	}
	content, err := contentChunk(head, answer.Content, "")
	if err != nil {
		return err
	}
	last, err := contentChunk(head, "", answer.FinishReason)
	if err != nil {
		return err
	}
	ending, err := streamEnd(head, last, answer.Usage)
	if err != nil {
		return err
	}
	setStreamHeaders(c)
	return c.Send(append(appendEvent(nil, content), ending...))
}
