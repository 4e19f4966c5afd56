package opsapi

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
)

// Bounds of calls about money.
const (
	maxTopUp         = id.Tokens(1 << 53) // exact in every JSON reader
	defaultBillLimit = 1000
	maxBillLimit     = 100_000
)

// TopUpRequest is the body of POST /v1/budgets/:budget/topups.
type TopUpRequest struct {
	ID     string    `json:"id"`
	Amount id.Tokens `json:"amount"`
}

// BudgetList is the answer to GET /v1/budgets.
type BudgetList struct {
	Budgets []BudgetStatus `json:"budgets"`
}

// RouterList is the answer to GET /v1/routers.
type RouterList struct {
	Revision id.Revision    `json:"revision"` // of the configuration at the answering router
	Routers  []RouterStatus `json:"routers"`
}

// BillList is the answer to GET /v1/bills.
type BillList struct {
	Bills []BillStatus `json:"bills"`
}

func (s *Server) budgets(c *fiber.Ctx) error {
	ctx, cancel := callContext(c)
	defer cancel()
	budgets, err := s.config.Fleet.Budgets(ctx, id.ClientAccount(c.Query("account")))
	if err != nil {
		return err
	}
	return c.JSON(BudgetList{Budgets: orEmpty(budgets)})
}

func (s *Server) budget(c *fiber.Ctx) error {
	ctx, cancel := callContext(c)
	defer cancel()
	status, err := s.config.Fleet.Budget(ctx, id.Budget(c.Params("budget")))
	if err != nil {
		return err
	}
	return c.JSON(status)
}

func (s *Server) topUp(c *fiber.Ctx) error {
	var request TopUpRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return fail(fiber.StatusBadRequest, CodeInvalid, "body must be {\"id\":\"...\",\"amount\":N}: "+err.Error())
	}
	if !contract.ValidName(request.ID) {
		return fail(fiber.StatusUnprocessableEntity, CodeInvalid,
			"id must be 1 to 128 letters, digits, '.', '_', ':' or '-'; it makes a repeated top-up count once")
	}
	if request.Amount < 1 || request.Amount > maxTopUp {
		return fail(fiber.StatusUnprocessableEntity, CodeInvalid, "amount must be 1 to 2^53 tokens")
	}
	ctx, cancel := callContext(c)
	defer cancel()
	budget := id.Budget(c.Params("budget"))
	if err := s.knowBudget(ctx, budget); err != nil {
		return err
	}
	status, err := s.config.Fleet.TopUp(ctx,
		TopUp{ID: request.ID, Budget: budget, Amount: request.Amount, Author: author(c)})
	if err != nil {
		return err
	}
	s.config.Events.Emit(event.TopUpLanded, slog.String(event.KeyBudget, string(budget)),
		slog.String("top_up", request.ID), slog.Int64(event.KeyTokens, int64(request.Amount)),
		slog.String("author", author(c)))
	return c.JSON(status)
}

// knowBudget refuses a budget that no contract has: money paid into a mistyped
// name would be lost to its account. The state in force may lag behind a
// contract that was accepted a moment ago, so that it is read again first.
func (s *Server) knowBudget(ctx context.Context, budget id.Budget) error {
	if _, found := s.config.Store.State().Owner(budget); found {
		return nil
	}
	state, err := s.config.Store.Load(ctx)
	if err != nil {
		return fail(fiber.StatusServiceUnavailable, CodeNotDone,
			"the budget is not known here and the configuration can't be read: "+err.Error())
	}
	if _, found := state.Owner(budget); !found {
		return ErrUnknownBudget
	}
	return nil
}

func (s *Server) routers(c *fiber.Ctx) error {
	ctx, cancel := callContext(c)
	defer cancel()
	routers, err := s.config.Fleet.Routers(ctx)
	if err != nil {
		return err
	}
	return c.JSON(RouterList{Revision: s.state(c).Revision, Routers: orEmpty(routers)})
}

func (s *Server) bills(c *fiber.Ctx) error {
	filter, err := billFilter(c)
	if err != nil {
		return err
	}
	ctx, cancel := callContext(c)
	defer cancel()
	bills, err := s.config.Fleet.Bills(ctx, filter)
	if err != nil {
		return err
	}
	return c.JSON(BillList{Bills: orEmpty(bills)})
}

func billFilter(c *fiber.Ctx) (BillFilter, error) {
	filter := BillFilter{Account: id.ClientAccount(c.Query("account")), Limit: defaultBillLimit}
	if since := c.Query("since"); since != "" {
		at, err := time.Parse(time.RFC3339, since)
		if err != nil {
			return filter, fail(fiber.StatusBadRequest, CodeInvalid, "since must be a time as 2026-12-02T10:00:00Z")
		}
		filter.Since = at
	}
	if limit := c.Query("limit"); limit != "" {
		n, err := strconv.Atoi(limit)
		if err != nil || n < 1 || n > maxBillLimit {
			return filter, fail(fiber.StatusBadRequest, CodeInvalid, "limit must be 1 to 100000")
		}
		filter.Limit = n
	}
	return filter, nil
}

// orEmpty makes an empty list "[]" in JSON, not "null".
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
