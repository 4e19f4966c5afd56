package config

import (
	"context"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// maxShardRounds bounds the tries to fold into one shard against other folders.
const maxShardRounds = 8

// fold moves the older entries of the log into the snapshot shards and then
// shortens the head, in this order: a folder that dies in between leaves
// entries that are both in the log and in a shard, which readers apply once
// (shardValue.Through). The other order would lose them. It gives the shorter
// head and its key revision.
func (s *Store) fold(ctx context.Context, h *Head, at platform.Revision) (*Head, platform.Revision, error) {
	through := h.foldPoint(s.keepEntries)
	if through <= h.Folded {
		return nil, 0, errors.New("config: nothing to fold")
	}
	for n, entries := range h.entriesByShard(through) {
		if err := s.foldShard(ctx, n, entries); err != nil {
			return nil, 0, err
		}
	}
	shorter := h.withoutFolded(through)
	data, err := EncodeHead(shorter)
	if err != nil {
		return nil, 0, err
	}
	value, err := s.kv.CAS(ctx, HeadKey, at, data, 0)
	if err != nil {
		return nil, 0, errors.Wrap(err, "config: shorten the head")
	}
	return shorter, value.Revision, nil
}

// foldPoint is the revision through which the log is folded: all but the newest
// keep entries, and fewer are kept when those are large.
func (h *Head) foldPoint(keep int) id.Revision {
	bytes := 0
	kept := 0
	for i := len(h.Log) - 1; i >= 0 && kept < keep; i-- {
		bytes += len(h.Log[i].Body)
		if bytes > foldBytes/2 {
			break
		}
		kept++
	}
	return h.Revision - id.Revision(kept)
}

func (h *Head) entriesByShard(through id.Revision) map[int][]Entry {
	byShard := make(map[int][]Entry)
	for _, e := range h.Log[:through-h.Folded] {
		n := shardOf(e.Key(), h.shardCount())
		byShard[n] = append(byShard[n], e)
	}
	return byShard
}

func (s *Store) foldShard(ctx context.Context, n int, entries []Entry) error {
	for range maxShardRounds {
		shard, value, err := s.readShard(ctx, n)
		if err != nil {
			return err
		}
		next, changed := shard.fold(entries)
		if !changed {
			return nil
		}
		data, err := encodeShard(next)
		if err != nil {
			return err
		}
		if len(data) > maxHeadBytes {
			return errors.Wrapf(ErrFull, "snapshot shard %d", n)
		}
		_, err = s.kv.CAS(ctx, shardKey(n), value.Revision, data, 0)
		lost := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrOutcomeUnknown)
		if !lost {
			return errors.Wrapf(err, "config: write snapshot shard %d", n)
		}
	}
	return errors.Errorf("config: snapshot shard %d changed %d times while it was folded", n, maxShardRounds)
}
