package memkv

import (
	"context"

	"chicorytiller.example/chicorytiller/internal/platform"
)

// watcher is one open watch. Its channel holds one value: a later value takes
// the place of one that was not read yet. Only the holder of Store.mu sends.
type watcher struct {
	values chan platform.Value
	forget func() bool // unties the watch from its context
}

func (w *watcher) offer(v platform.Value) {
	select {
	case <-w.values:
	default:
	}
	w.values <- v
}

// Watch implements platform.KV. A slow reader sees the latest value only. A
// deletion is sent as a Value with Revision zero.
func (s *Store) Watch(
	ctx context.Context, key string, after platform.Revision,
) (<-chan platform.Value, error) {
	if err := s.begin(ctx, &s.counts.WatchesOpened, &s.reads); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	w := &watcher{values: make(chan platform.Value, 1)}
	if s.watchers[key] == nil {
		s.watchers[key] = make(map[*watcher]struct{})
	}
	s.watchers[key][w] = struct{}{}
	if s.changedAfter(key, after) {
		w.offer(s.current(key))
	}
	w.forget = context.AfterFunc(ctx, func() { s.endWatch(key, w) })
	return w.values, nil
}

func (s *Store) changedAfter(key string, after platform.Revision) bool {
	if e, found := s.entries[key]; found {
		return e.revision > after
	}
	return after > 0 && s.deleted[key] > after
}

func (s *Store) notify(key string) {
	for w := range s.watchers[key] {
		w.offer(s.current(key))
	}
}

func (s *Store) endWatch(key string, w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeWatch(key, w)
}

func (s *Store) endWatches() {
	for key, watchers := range s.watchers {
		for w := range watchers {
			s.closeWatch(key, w)
		}
	}
}

// closeWatch ends a watch once; a watch that an outage ended has its context
// end later.
func (s *Store) closeWatch(key string, w *watcher) {
	if _, open := s.watchers[key][w]; !open {
		return
	}
	delete(s.watchers[key], w)
	if len(s.watchers[key]) == 0 {
		delete(s.watchers, key)
	}
	w.forget()
	close(w.values)
}
