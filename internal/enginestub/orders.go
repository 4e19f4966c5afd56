package enginestub

import (
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// OrderKind is what an order asks of an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderSetRole     OrderKind = "set_role"
)

// Order tells an engine to change. Fencing numbers grow with each change of
// the one who gives orders.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Role    string    `json:"role,omitempty"`
	Fencing uint64    `json:"fencing"`
}

// ErrOldFencing: an order came with an older fencing number than one before.
var ErrOldFencing = errors.New("enginestub: old fencing number")

// orderBook checks and carries out orders.
type orderBook struct {
	checksFencing bool
	scheduler     *scheduler

	mu      sync.Mutex
	fencing uint64 // the highest number seen
	taken   []Order
	role    string
}

func newOrderBook(checksFencing bool, scheduler *scheduler) *orderBook {
	return &orderBook{checksFencing: checksFencing, scheduler: scheduler}
}

// take carries out an order. An engine that doesn't check fencing numbers
// carries out old orders too.
func (b *orderBook) take(order Order) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.checksFencing && order.Fencing < b.fencing {
		return errors.Wrapf(ErrOldFencing, "%d after %d", order.Fencing, b.fencing)
	}
	switch order.Kind {
	case OrderLoadModel:
		b.scheduler.setModel(order.Model, true)
	case OrderUnloadModel:
		b.scheduler.setModel(order.Model, false)
	case OrderSetRole:
		b.role = order.Role
	default:
		return errors.Wrapf(ErrBadRequest, "unknown order %q", order.Kind)
	}
	b.fencing = max(b.fencing, order.Fencing)
	b.taken = append(b.taken, order)
	return nil
}

func (b *orderBook) list() []Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.taken)
}

// Orders gives the orders that were carried out.
func (s *Server) Orders() []Order {
	return s.orders.list()
}

// setModel loads or unloads a model. The list is replaced, as load reports
// share the old one.
func (e *scheduler) setModel(model string, loaded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := slices.DeleteFunc(slices.Clone(e.models), func(other string) bool { return other == model })
	if loaded {
		models = append(models, model)
	}
	e.models = models
	e.recordLoad(e.now())
}
