package standin

import (
	"encoding/json"
	"net"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/etcdgw/wire"
)

// serviceID is the cluster and member number in each answer's header.
const serviceID = 1

func header(revision platform.Revision) wire.Header {
	return wire.Header{
		ClusterID: serviceID,
		MemberID:  serviceID,
		Revision:  int64(revision),
		RaftTerm:  1,
	}
}

// readBody decodes a request; a broken one is answered with status 400.
func readBody(c *fiber.Ctx, message any) error {
	if err := json.Unmarshal(c.Body(), message); err != nil {
		return invalid(err.Error())
	}
	return nil
}

// gatewayError is an answer with an error status and the gateway's body.
type gatewayError struct {
	status int
	body   wire.ErrorBody
}

// Error implements error.
func (e *gatewayError) Error() string {
	return e.body.Message
}

func newGatewayError(status, code int, text string) *gatewayError {
	return &gatewayError{status: status, body: wire.ErrorBody{Error: text, Message: text, Code: code}}
}

func invalid(text string) *gatewayError {
	return newGatewayError(fiber.StatusBadRequest, wire.CodeInvalidArgument, text)
}

// answerStoreError answers with what etcd sends for an error of the store.
func answerStoreError(c *fiber.Ctx, err error) error {
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return hangUp(c)
	case errors.Is(err, platform.ErrRateLimited):
		return newGatewayError(fiber.StatusTooManyRequests, wire.CodeResourceExhausted, wire.TextTooManyRequests)
	case errors.Is(err, platform.ErrValueTooLarge):
		return invalid(wire.TextTooLarge)
	case errors.Is(err, platform.ErrLeaseNotFound):
		return newGatewayError(fiber.StatusNotFound, wire.CodeNotFound, wire.TextLeaseNotFound)
	case errors.Is(err, platform.ErrUnavailable):
		return newGatewayError(fiber.StatusServiceUnavailable, wire.CodeUnavailable, wire.TextNoLeader)
	}
	return err
}

// hangUp closes the connection without an answer: an answer lost on its way.
func hangUp(c *fiber.Ctx) error {
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(net.Conn) {}) // the server closes it afterwards
	return nil
}

// answerError is the one place that turns a handler's error into an answer.
func answerError(c *fiber.Ctx, err error) error {
	var gateway *gatewayError
	if errors.As(err, &gateway) {
		return c.Status(gateway.status).JSON(gateway.body)
	}
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	return c.Status(status).JSON(wire.ErrorBody{Error: err.Error(), Message: err.Error()})
}
