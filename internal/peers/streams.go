package peers

import (
	"context"

	"chicorytiller.example/chicorytiller/internal/streams"
)

// KeepStreams gives records of streams to a peer.
func (c *Client) KeepStreams(ctx context.Context, address string, records []streams.Record) error {
	if c.inBackoff(address) {
		return ErrUnreachable
	}
	return c.call(ctx, address, "KeepStreams", StreamRecords{Records: records}, &struct{}{}, ignoreLate)
}

// FindStream asks a peer at which version a stream began.
func (c *Client) FindStream(ctx context.Context, address string, key streams.Key) (version string, found bool, err error) {
	if c.inBackoff(address) {
		return "", false, ErrUnreachable
	}
	answer := StreamAnswer{}
	if err := c.call(ctx, address, "FindStream", StreamQuery{Key: key}, &answer, ignoreLate); err != nil {
		return "", false, err
	}
	return answer.Version, answer.Found, nil
}
