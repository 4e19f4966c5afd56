package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
)

// serviceCall is a call of a plain service that passed all checks of the gateway.
type serviceCall struct {
	call
	service       id.Service
	method        string
	path          string // after /v1/services/NAME, with its query
	contentType   string
	nonIdempotent bool
}

// callService answers /v1/services/NAME/...
func (s *Server) callService(c *fiber.Ctx) error {
	request, err := s.newServiceCall(c)
	if err != nil {
		return err
	}
	ctx, cancel := s.context(request.call)
	defer cancel()
	admission, err := s.gate.Admit(ctx, request.admitRequest())
	if err != nil {
		return admitRefusal(ctx, err, request.call)
	}
	c.Set(headerRequestID, string(admission.Request))
	if admission.Replay != nil {
		// The earlier run has been settled: a replay holds no reservation.
		s.metrics.replayed(kindService)
		return sendServiceAnswer(c, *admission.Replay)
	}
	answer, err := s.runService(ctx, request, admission)
	if err != nil {
		return err
	}
	s.metrics.answered(kindService)
	return sendServiceAnswer(c, answer)
}

func (s *Server) newServiceCall(c *fiber.Ctx) (serviceCall, error) {
	common, err := s.newCall(c)
	if err != nil {
		return serviceCall{}, err
	}
	name, path := splitServicePath(c)
	known, found := common.snapshot.Services[name]
	if !found {
		return serviceCall{}, refuse(core.CauseUnknownService, "", "the service %q does not exist", name)
	}
	if !common.contract.AllowsService(name) {
		return serviceCall{}, refuse(core.CauseNotAllowed, "", "the contract does not allow the service %q", name)
	}
	request := serviceCall{
		call:          common,
		service:       name,
		method:        c.Method(),
		path:          path,
		contentType:   c.Get(fiber.HeaderContentType),
		nonIdempotent: mustRunOnce(c, known, path),
	}
	if timeout := known.Timeout(); timeout > 0 {
		request.deadline = earliest(request.deadline, request.arrived.Add(timeout))
	}
	if request.nonIdempotent && !request.keyed() {
		return serviceCall{}, refuse(core.CauseKeyRequired, headerIdempotencyKey,
			"this call must not be repeated and needs the header %s", headerIdempotencyKey)
	}
	return request, nil
}

// splitServicePath gives the service's name and the rest of the path with its
// query, both as the caller wrote them.
func splitServicePath(c *fiber.Ctx) (id.Service, string) {
	uri := c.Context().URI()
	tail := strings.TrimPrefix(string(uri.PathOriginal()), pathServices)
	name, rest, _ := strings.Cut(tail, "/")
	path := "/" + rest
	if query := string(uri.QueryString()); query != "" {
		path += "?" + query
	}
	return id.Service(name), path
}

// mustRunOnce tells whether a call must not be repeated: by the operators' word
// or by the caller's.
func mustRunOnce(c *fiber.Ctx, service contract.Service, path string) bool {
	if strings.EqualFold(c.Get(headerIdempotent), "false") {
		return true
	}
	return service.IsNonIdempotent(c.Method(), path)
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (r serviceCall) admitRequest() core.AdmitRequest {
	return core.AdmitRequest{
		Account:        r.contract.Account,
		Service:        r.service,
		IdempotencyKey: r.idempotencyKey,
		BodyHash:       r.bodyHash,
		NonIdempotent:  r.nonIdempotent,
		Deadline:       r.deadline,
	}
}

// runService runs an admitted call, bills it and gives its answer.
func (s *Server) runService(ctx context.Context, request serviceCall, admission core.Admission) (core.Answer, error) {
	run := serviceRun{
		settlement: newSettlement(s.gate, admission.Request),
		server:     s,
		ctx:        ctx,
		request:    request,
		dispatch:   admission.Dispatch,
	}
	defer run.release()
	response, err := run.call()
	if err != nil {
		refusal := refusalFrom(ctx, err, run.outcome())
		run.cause = refusal.Cause
		return core.Answer{}, refusal
	}
	answer := core.Answer{
		Status:      response.Status,
		ContentType: response.ContentType,
		Content:     string(response.Body),
	}
	err = run.finish(ctx, core.Completion{
		Attempt: run.dispatch.Attempt,
		Backend: run.dispatch.Backend.ID,
		Answer:  answer,
	})
	return answer, err
}

// serviceRun is one admitted call of a plain service.
type serviceRun struct {
	settlement
	server     *Server
	ctx        context.Context
	request    serviceCall
	dispatch   core.Dispatch
	mayHaveRun bool
}

// call sends the call until a backend server answers it, or until it can't go on.
func (r *serviceRun) call() (backend.ServiceResponse, error) {
	for {
		response, err := r.server.service.Call(r.ctx, r.dispatch.Backend, r.message())
		if err == nil {
			r.mayHaveRun = true
			return response, nil
		}
		if err := r.next(err); err != nil {
			return backend.ServiceResponse{}, err
		}
	}
}

// next moves a failed call to another backend server, if it may be repeated.
func (r *serviceRun) next(failure error) error {
	if !neverRan(failure) {
		r.mayHaveRun = true
	}
	if r.ctx.Err() != nil {
		return deadlineRefusal(r.outcome())
	}
	if errors.Is(failure, backend.ErrRejected) {
		return rejection(r.outcome())
	}
	// The connection broke after a call that must run at most once was sent: it
	// may have run, so a second one could double it. Its caller is told at once.
	if r.mayHaveRun && r.request.nonIdempotent {
		return &core.Refusal{
			Cause:   core.CauseBackendFailed,
			Outcome: core.OutcomeUnknown,
			Detail:  "the connection to the backend server broke; the call may have run and is not repeated",
		}
	}
	next, err := r.server.gate.Redispatch(r.ctx, r.requestID, core.FailedAttempt{
		Attempt: r.dispatch.Attempt,
		Backend: r.dispatch.Backend.ID,
		Err:     failure,
	})
	if err != nil {
		return err
	}
	r.dispatch = next
	return nil
}

func (r *serviceRun) outcome() core.Outcome {
	if r.mayHaveRun {
		return core.OutcomeUnknown
	}
	return core.OutcomeNotRun
}

func (r *serviceRun) message() backend.ServiceRequest {
	return backend.ServiceRequest{
		Request:     r.requestID,
		Attempt:     r.dispatch.Attempt,
		Method:      r.request.method,
		Path:        r.request.path,
		ContentType: r.request.contentType,
		Body:        r.request.body,
		Deadline:    r.request.deadline,
	}
}

func sendServiceAnswer(c *fiber.Ctx, answer core.Answer) error {
	if answer.ContentType != "" {
		c.Set(fiber.HeaderContentType, answer.ContentType)
	}
	return c.Status(answer.Status).SendString(answer.Content)
}
