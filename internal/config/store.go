package config

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// Limits of the head. The log is kept short because every change sends the
// whole head to every watch, and long enough that a router which lags a little
// need not read shards, and that an operator's change can still be found in it.
const (
	defaultFoldEntries = 64
	defaultKeepEntries = 16
	foldBytes          = 256 << 10
	// maxHeadBytes leaves room in the service's value for its own framing.
	maxHeadBytes = platform.MaxValueBytes - 4096
)

// Store reads and changes the configuration in the key-value service. It is
// safe for concurrent use.
type Store struct {
	kv           platform.KV
	now          func() time.Time
	checkSetting SettingCheck
	shards       int
	foldEntries  int
	keepEntries  int

	mu    sync.Mutex
	state *State
	head  []byte // the newest head seen, for relaying
}

// Option changes a Store at its making.
type Option func(*Store)

// WithShards sets how many snapshot shards a configuration gets which this store
// creates; an existing one keeps its number.
func WithShards(n int) Option { return func(s *Store) { s.shards = n } }

// WithSettingCheck refuses settings for which check gives an error.
func WithSettingCheck(check SettingCheck) Option {
	return func(s *Store) { s.checkSetting = check }
}

// WithFold sets at how many entries the log is folded, and how many newest
// entries stay in it.
func WithFold(at, keep int) Option {
	return func(s *Store) { s.foldEntries, s.keepEntries = at, keep }
}

// NewStore makes a store over kv. now stamps the accepted changes.
func NewStore(kv platform.KV, now func() time.Time, options ...Option) *Store {
	s := &Store{kv: kv, now: now, shards: DefaultShards,
		foldEntries: defaultFoldEntries, keepEntries: defaultKeepEntries, state: Empty()}
	for _, option := range options {
		option(s)
	}
	return s
}

// State is the newest state that this store has seen; never nil.
func (s *Store) State() *State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Head is the newest head that this store has seen, for relaying to other
// routers. It is nil before the first one.
func (s *Store) Head() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
}

// Offer takes a head that another router relayed. The error wraps ErrNeedsLoad
// when the store is too far behind for it, and ErrMalformed when it is damaged;
// the state is then as before.
func (s *Store) Offer(head []byte) (*State, error) {
	next, err := s.State().WithHead(head)
	if err != nil {
		return nil, err
	}
	return s.keep(next, head), nil
}

// History lists the recent changes that are still in the log, oldest first.
func (s *Store) History() ([]Entry, error) {
	head := s.Head()
	if head == nil {
		return nil, nil
	}
	h, err := DecodeHead(head)
	if err != nil {
		return nil, err
	}
	return h.Log, nil
}

// keep makes next the store's state if it is newer, and gives the newest.
func (s *Store) keep(next *State, head []byte) *State {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Two readers can finish in the other order than they began; the later must
	// not put the older state back.
	if next.Revision > s.state.Revision {
		s.state = next
		s.head = head
	}
	return s.state
}

// Load reads the newest configuration and gives it. Errors are those of the
// key-value service, ErrMalformed and ErrSteppedBack; the state in force stays.
func (s *Store) Load(ctx context.Context) (*State, error) {
	_, state, err := s.load(ctx)
	return state, err
}

func (s *Store) load(ctx context.Context) (platform.Value, *State, error) {
	value, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return value, nil, errors.Wrap(err, "config: read the head")
	}
	state, err := s.advanceTo(ctx, value)
	return value, state, err
}

// advanceTo brings the store to the head in value and gives the newest state.
func (s *Store) advanceTo(ctx context.Context, value platform.Value) (*State, error) {
	state := s.State()
	if value.Revision == 0 {
		if state.Revision > 0 {
			return nil, ErrSteppedBack
		}
		return state, nil
	}
	next, err := s.Advance(ctx, state, value.Data)
	if err != nil {
		return nil, err
	}
	return s.keep(next, value.Data), nil
}

// Advance gives the state that a head describes, starting from state. It reads
// snapshot shards only when the head's log does not reach back far enough, and
// of those only the ones that changed. It gives state itself when the head is
// not newer.
func (s *Store) Advance(ctx context.Context, state *State, head []byte) (*State, error) {
	h, err := DecodeHead(head)
	if err != nil {
		return nil, err
	}
	next, err := state.withHead(h)
	if !errors.Is(err, ErrNeedsLoad) {
		return next, err
	}
	return s.advanceByShards(ctx, state, h)
}

// maxLoadRounds bounds how often a reader starts over because others fold
// meanwhile. Folds are far apart, so that a second round is rare.
const maxLoadRounds = 8

// advanceByShards reads the shards that changed since state.
//
// While it reads, another router may fold: a shard then already holds changes
// past h, while other shards lack changes of the same span. Serving that mix
// would show callers a configuration that never was. So a shard that is ahead
// of the head makes the reader take the head again, which is then at least as
// new as the shard (a fold writes only changes that the head has accepted).
func (s *Store) advanceByShards(ctx context.Context, state *State, h *Head) (*State, error) {
	shards := make(map[int]*shardValue)
	for range maxLoadRounds {
		newest, err := s.readShards(ctx, h, state.Revision, shards)
		if err != nil {
			return nil, err
		}
		if newest <= h.Revision {
			return state.withShards(h, shards)
		}
		if h, err = s.readHead(ctx); err != nil {
			return nil, err
		}
	}
	return nil, errors.Errorf("config: the configuration was folded %d times while it was read", maxLoadRounds)
}

func (s *Store) readHead(ctx context.Context) (*Head, error) {
	value, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, errors.Wrap(err, "config: read the head")
	}
	if value.Revision == 0 {
		return nil, ErrSteppedBack
	}
	return DecodeHead(value.Data)
}

// readShards adds to shards those that hold changes past after and are not there
// in the version that the head demands. It gives the newest revision in them.
func (s *Store) readShards(ctx context.Context, h *Head, after id.Revision, shards map[int]*shardValue) (id.Revision, error) {
	newest := id.Revision(0)
	for n, revision := range h.ShardRevisions {
		have, found := shards[n]
		upToDate := found && have.Through >= revision
		if revision > after && !upToDate {
			shard, _, err := s.readShard(ctx, n)
			if err != nil {
				return 0, err
			}
			if shard.Through < revision {
				return 0, errors.Wrapf(ErrSteppedBack, "shard %d ends at %d, the head says %d", n, shard.Through, revision)
			}
			shards[n] = shard
		}
		if shards[n] != nil {
			newest = max(newest, shards[n].Through)
		}
	}
	return newest, nil
}

func (s *Store) readShard(ctx context.Context, n int) (*shardValue, platform.Value, error) {
	value, err := s.kv.Get(ctx, shardKey(n))
	if err != nil {
		return nil, value, errors.Wrapf(err, "config: read snapshot shard %d", n)
	}
	shard, err := decodeShard(value.Data)
	return shard, value, errors.Wrapf(err, "config: snapshot shard %d", n)
}

// withShards gives the state at head h out of s, the shards that changed since
// s, and h's log.
func (s *State) withShards(h *Head, shards map[int]*shardValue) (*State, error) {
	b := s.build()
	b.removeShards(shards, h.shardCount())
	for _, value := range shards {
		if err := b.putShard(value); err != nil {
			return nil, err
		}
	}
	for _, e := range h.Log {
		held := s.Revision
		if value, read := shards[shardOf(e.Key(), h.shardCount())]; read {
			held = value.Through
		}
		if e.Revision <= held {
			continue
		}
		if err := b.applyEntry(e); err != nil {
			return nil, err
		}
	}
	return b.finish(h.Revision), nil
}
