package peers

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/store"
)

// FollowRequest asks for what lies under a prefix of the store, or for what has changed.
type FollowRequest struct {
	Prefix string
	// All asks for all items; else for the changes after After, which may be waited for.
	All   bool
	After store.Revision
	Wait  time.Duration
	// Unpacks: the answer may be compressed.
	Unpacks bool
}

// FollowStatus says whether a FollowAnswer can be used.
type FollowStatus int

// Statuses of a FollowAnswer.
const (
	FollowOK        FollowStatus = iota
	FollowNoFeed                 // the peer doesn't follow the store itself, or is behind
	FollowCompacted              // the peer no longer has the changes from there on
)

// FollowAnswer is what the peer knows from the store itself.
type FollowAnswer struct {
	Status   FollowStatus
	Snapshot store.Snapshot
	Changes  store.Changes
	// Packed holds the items and changes of a large answer instead; Data is empty where none is
	// compressed.
	Packed Packed
}

// Follow answers a peer that follows the store through this router.
func (s *Service) Follow(request FollowRequest, answer *FollowAnswer) error {
	feed := s.knowledge.Feed(request.Prefix)
	if feed == nil {
		answer.Status = FollowNoFeed
		return nil
	}
	var err error
	if request.All {
		answer.Snapshot, err = feed.Read(request.After)
	} else {
		answer.Changes, err = feed.Watch(context.Background(), request.After, min(request.Wait, followMost))
	}
	switch {
	case errors.Is(err, store.ErrCompacted):
		answer.Status = FollowCompacted
	case err != nil:
		answer.Status = FollowNoFeed // it doesn't follow the store, or is behind: the peer asks elsewhere
	}
	if request.Unpacks {
		return s.packer.pack(answer)
	}
	return nil
}

// followMost bounds how long an answer is held back.
const followMost = 2 * time.Second

// Follow asks one peer. Its errors are those of a store.Feed, or ErrUnreachable and
// ErrNotSent.
func (c *Client) Follow(ctx context.Context, address string, request FollowRequest) (FollowAnswer, error) {
	if c.avoiding(address) {
		return FollowAnswer{}, ErrUnreachable
	}
	answer := FollowAnswer{}
	request.Unpacks = true
	if err := c.callFor(ctx, callTimeout+request.Wait, address, "Follow", request, &answer); err != nil {
		return FollowAnswer{}, err
	}
	switch answer.Status {
	case FollowCompacted:
		return FollowAnswer{}, store.ErrCompacted
	case FollowNoFeed:
		return FollowAnswer{}, store.ErrNoFeed
	}
	if err := answer.unpack(); err != nil {
		return FollowAnswer{}, err
	}
	return answer, nil
}
