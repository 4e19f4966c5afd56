package peers

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/store"
)

// FollowRequest asks for the store's items under a prefix, or for their changes.
type FollowRequest struct {
	Prefix string
	// All asks for all items, otherwise for the changes after After.
	All bool
	// After is the revision up to which the sender knows the store.
	After store.Revision
	// Wait is how long the peer may wait for a change.
	Wait time.Duration
	// Unpacks: the sender accepts a compressed answer.
	Unpacks bool
	// KnowsEras: the sender's revisions contain the store's era. A router that doesn't know eras would
	// take such a revision for a number.
	KnowsEras bool
}

// FollowStatus is the status of a FollowAnswer.
type FollowStatus int

const (
	FollowOK        FollowStatus = iota
	FollowNoFeed                 // the peer doesn't follow the store itself, or is behind the sender
	FollowCompacted              // the peer no longer has the changes after that revision
)

// FollowAnswer contains what the peer has read from the store itself.
type FollowAnswer struct {
	Status FollowStatus
	// KnowsEras: the peer's revisions contain the store's era.
	KnowsEras bool
	Snapshot  store.Snapshot
	Changes   store.Changes
	// Packed contains the items and changes of a large answer, which Snapshot and Changes then
	// lack. Its Data is empty if the answer is not compressed.
	Packed Packed
}

// Follow answers a peer that follows the store through this router.
func (s *Service) Follow(request FollowRequest, answer *FollowAnswer) error {
	feed := s.state.Feed(request.Prefix)
	if feed == nil {
		answer.Status = FollowNoFeed
		return nil
	}
	answer.KnowsEras = true
	var err error
	if request.All {
		answer.Snapshot, err = feed.Read(request.After)
	} else {
		answer.Changes, err = feed.Watch(context.Background(), request.After, min(request.Wait, maxFollowWait))
	}
	switch {
	case errors.Is(err, store.ErrCompacted):
		answer.Status = FollowCompacted
	case err != nil:
		answer.Status = FollowNoFeed // the sender then asks another router
	}
	if era := max(answer.Snapshot.At, answer.Changes.At).Era(); era > 0 && !request.KnowsEras {
		*answer = FollowAnswer{Status: FollowNoFeed}
	}
	if request.Unpacks {
		return s.packer.pack(answer)
	}
	return nil
}

// maxFollowWait bounds how long an answer is delayed while nothing changes.
const maxFollowWait = 2 * time.Second

// Follow asks one peer for items or changes of the store. It returns store.ErrNoFeed or
// store.ErrCompacted if the peer doesn't have them, ErrUnreachable or ErrNotSent if the call
// failed or the peer is in backoff, and ErrCorruptAnswer if the answer can't be decompressed.
func (c *Client) Follow(ctx context.Context, address string, request FollowRequest) (FollowAnswer, error) {
	if c.inBackoff(address) {
		return FollowAnswer{}, ErrUnreachable
	}
	return c.FollowDespiteBackoff(ctx, address, request)
}

// FollowDespiteBackoff is Follow for questions that can't wait until a peer's backoff ends: after a
// partition of this VM all peers are in backoff.
func (c *Client) FollowDespiteBackoff(ctx context.Context, address string, request FollowRequest) (FollowAnswer, error) {
	answer := FollowAnswer{}
	request.Unpacks, request.KnowsEras = true, true
	if err := c.callWithTimeout(ctx, callTimeout+request.Wait, address, "Follow", request, &answer, nil); err != nil {
		return FollowAnswer{}, err
	}
	switch answer.Status {
	case FollowCompacted:
		return FollowAnswer{}, store.ErrCompacted
	case FollowNoFeed:
		return FollowAnswer{}, store.ErrNoFeed
	}
	if request.After.Era() > 0 && !answer.KnowsEras {
		return FollowAnswer{}, store.ErrNoFeed
	}
	if err := answer.unpack(); err != nil {
		return FollowAnswer{}, err
	}
	return answer, nil
}
