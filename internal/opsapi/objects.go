package opsapi

import (
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
)

// collection is one kind of configured object and its place in the URLs.
type collection struct {
	path string
	kind config.Kind
}

var collections = []collection{
	{"contracts", config.KindContract},
	{"backends", config.KindBackend},
	{"services", config.KindService},
	{"models", config.KindModel},
	{"settings", config.KindSetting},
}

// Object is one configured object in a list.
type Object struct {
	Name     string          `json:"name"`
	Revision id.Revision     `json:"revision"`
	Author   string          `json:"author"`
	At       time.Time       `json:"at"`
	Body     json.RawMessage `json:"body"`
}

// ObjectList is the answer to a list call.
type ObjectList struct {
	Revision id.Revision `json:"revision"` // of the whole configuration
	Objects  []Object    `json:"objects"`
}

// ConfigStatus is the answer to GET /v1/config.
type ConfigStatus struct {
	Revision id.Revision `json:"revision"`
}

// HistoryBody is the answer to GET /v1/config/history: the changes still in the log.
type HistoryBody struct {
	Entries []config.Entry `json:"entries"`
}

func (s *Server) state(c *fiber.Ctx) *config.State {
	state := s.config.Store.State()
	c.Set(HeaderConfigRevision, strconv.FormatUint(uint64(state.Revision), 10))
	return state
}

func (s *Server) list(of collection) fiber.Handler {
	return func(c *fiber.Ctx) error {
		state := s.state(c)
		list := ObjectList{Revision: state.Revision, Objects: []Object{}}
		for _, name := range state.Names(of.kind) {
			object, _ := objectOf(state, config.Key{Kind: of.kind, Name: name})
			list.Objects = append(list.Objects, object)
		}
		return c.JSON(list)
	}
}

func objectOf(state *config.State, key config.Key) (Object, bool) {
	meta, found := state.Meta(key)
	body, _ := state.Body(key)
	return Object{Name: key.Name, Revision: meta.Revision, Author: meta.Author, At: meta.At, Body: body}, found
}

func (s *Server) get(of collection) fiber.Handler {
	return func(c *fiber.Ctx) error {
		object, found := objectOf(s.state(c), config.Key{Kind: of.kind, Name: c.Params("name")})
		if !found {
			return fail(fiber.StatusNotFound, CodeNotFound, "there is no "+string(of.kind)+" "+c.Params("name"))
		}
		c.Set(fiber.HeaderETag, etag(object.Revision))
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Send(object.Body)
	}
}

func etag(revision id.Revision) string {
	return strconv.Quote(strconv.FormatUint(uint64(revision), 10))
}

func (s *Server) put(of collection) fiber.Handler {
	return func(c *fiber.Ctx) error {
		change, err := changeOf(c, of)
		if err != nil {
			return err
		}
		change.Body = c.Body()
		return s.apply(c, change)
	}
}

func (s *Server) delete(of collection) fiber.Handler {
	return func(c *fiber.Ctx) error {
		change, err := changeOf(c, of)
		if err != nil {
			return err
		}
		change.Delete = true
		return s.apply(c, change)
	}
}

func changeOf(c *fiber.Ctx, of collection) (config.Change, error) {
	ifMatch, err := precondition(c)
	if err != nil {
		return config.Change{}, err
	}
	changeID := c.Get(HeaderChangeID)
	if changeID == "" {
		changeID = uuid.NewString()
	}
	return config.Change{Kind: of.kind, Name: c.Params("name"), IfMatch: ifMatch,
		Author: author(c), ChangeID: changeID, Resent: c.Get(HeaderChangeResent) == "true"}, nil
}

// precondition reads If-Match: "REVISION", If-Match: * or If-None-Match: *. One
// of them is demanded, because a change without it would overwrite another
// operator's change unseen.
func precondition(c *fiber.Ctx) (id.Revision, error) {
	if c.Get(fiber.HeaderIfNoneMatch) == "*" {
		return 0, nil
	}
	match := c.Get(fiber.HeaderIfMatch)
	switch match {
	case "":
		return 0, fail(fiber.StatusPreconditionRequired, CodePrecondition,
			`If-Match: "REVISION" (or *) is needed, or If-None-Match: * for a new object`)
	case "*":
		return config.AnyRevision, nil
	}
	number := strings.TrimSuffix(strings.TrimPrefix(match, `"`), `"`)
	revision, err := strconv.ParseUint(number, 10, 63)
	if err != nil {
		return 0, fail(fiber.StatusBadRequest, CodeInvalid, `If-Match must be a revision in quotes, or *`)
	}
	return id.Revision(revision), nil
}

func (s *Server) apply(c *fiber.Ctx, change config.Change) error {
	ctx, cancel := callContext(c)
	defer cancel()
	result, err := s.config.Store.Apply(ctx, change)
	s.emit(change, result, err)
	s.state(c)
	if err != nil {
		return err
	}
	if !change.Delete {
		c.Set(fiber.HeaderETag, etag(result.Revision))
	}
	return c.JSON(result)
}

func (s *Server) emit(change config.Change, result config.Result, err error) {
	attrs := []slog.Attr{slog.String("kind", string(change.Kind)), slog.String("name", change.Name),
		slog.String("author", change.Author), slog.String("change_id", change.ChangeID),
		slog.String("outcome", string(result.Outcome)), slog.Uint64("revision", uint64(result.Revision))}
	if err == nil {
		s.config.Events.Emit(event.ConfigAccepted, attrs...)
		return
	}
	number := event.ConfigRejected
	var conflict *config.Conflict
	if errors.As(err, &conflict) {
		number = event.ConfigConflict
	}
	s.config.Events.Emit(number, append(attrs, slog.String(event.KeyCause, err.Error()))...)
}

func (s *Server) configuration(c *fiber.Ctx) error {
	return c.JSON(ConfigStatus{Revision: s.state(c).Revision})
}

func (s *Server) history(c *fiber.Ctx) error {
	s.state(c)
	entries, err := s.config.Store.History()
	if err != nil {
		return err
	}
	if entries == nil {
		entries = []config.Entry{}
	}
	return c.JSON(HistoryBody{Entries: entries})
}
