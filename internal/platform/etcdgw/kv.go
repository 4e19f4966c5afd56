package etcdgw

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/etcdgw/wire"
)

// Get implements platform.KV.
func (c *Client) Get(ctx context.Context, key string) (platform.Value, error) {
	v, _, err := c.read(ctx, key)
	return v, err
}

// read returns a key's value and the revision of the whole store at that time.
func (c *Client) read(ctx context.Context, key string) (platform.Value, platform.Revision, error) {
	body, err := c.call(ctx, reads, wire.PathRange, wire.RangeRequest{Key: []byte(key)})
	if err != nil {
		return platform.Value{}, 0, err
	}
	v, store, err := decodeRange(key, body)
	if err != nil {
		return platform.Value{}, 0, unreadable(reads, wire.PathRange, err)
	}
	return v, store, nil
}

// CAS implements platform.KV.
func (c *Client) CAS(
	ctx context.Context, key string, expect platform.Revision, data []byte, lease platform.LeaseID,
) (platform.Value, error) {
	if len(data) > platform.MaxValueBytes {
		err := errors.Errorf("%d bytes for key %q", len(data), key)
		return platform.Value{}, &CallError{Path: wire.PathTxn, Kind: platform.ErrValueTooLarge, Cause: err}
	}
	put := wire.PutRequest{Key: []byte(key), Value: data, Lease: int64(lease)}
	outcome, err := c.txn(ctx, key, expect, wire.RequestOp{Put: &put})
	if err != nil {
		return platform.Value{}, err
	}
	if !outcome.succeeded {
		return outcome.current, conflict(key, expect)
	}
	written := append([]byte(nil), data...)
	return platform.Value{Key: key, Data: written, Revision: outcome.revision}, nil
}

// Delete implements platform.KV.
func (c *Client) Delete(ctx context.Context, key string, expect platform.Revision) error {
	remove := wire.DeleteRangeRequest{Key: []byte(key)}
	outcome, err := c.txn(ctx, key, expect, wire.RequestOp{DeleteRange: &remove})
	if err != nil {
		return err
	}
	if !outcome.succeeded {
		return conflict(key, expect)
	}
	return nil
}

// txn runs op if key is at revision expect, and else reads the key in the same
// call, so that a conflict costs the service one call only.
func (c *Client) txn(
	ctx context.Context, key string, expect platform.Revision, op wire.RequestOp,
) (txnOutcome, error) {
	request := wire.TxnRequest{
		Compare: []wire.Compare{{
			Target:      wire.TargetMod,
			Result:      wire.ResultEqual,
			Key:         []byte(key),
			ModRevision: int64(expect),
		}},
		Success: []wire.RequestOp{op},
		Failure: []wire.RequestOp{{Range: &wire.RangeRequest{Key: []byte(key)}}},
	}
	body, err := c.call(ctx, writes, wire.PathTxn, request)
	if err != nil {
		return txnOutcome{}, err
	}
	outcome, err := decodeTxn(key, body)
	if err != nil {
		return txnOutcome{}, unreadable(writes, wire.PathTxn, err)
	}
	return outcome, nil
}

// GrantLease implements platform.KV. The service counts in whole seconds; ttl
// is rounded up.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	seconds := max(1, int64((ttl+time.Second-1)/time.Second))
	body, err := c.call(ctx, writes, wire.PathGrant, wire.LeaseGrantRequest{TTL: seconds})
	if err != nil {
		return 0, err
	}
	id, err := decodeGrant(body)
	if err != nil {
		return 0, unreadable(writes, wire.PathGrant, err)
	}
	return id, nil
}

// KeepAlive implements platform.KV. To renew twice is as good as once, so that
// an unknown outcome is told as such but harms nobody.
func (c *Client) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	request := wire.LeaseKeepAliveRequest{ID: int64(lease)}
	body, err := c.call(ctx, writes, wire.PathKeepAlive, request)
	if err != nil {
		return err
	}
	line, err := decodeKeepAlive(body)
	if err != nil {
		return unreadable(writes, wire.PathKeepAlive, err)
	}
	if line.Error != nil {
		kind := kindOfStreamError(writes, *line.Error)
		return &CallError{Path: wire.PathKeepAlive, Kind: kind, Cause: errors.New(line.Error.Message)}
	}
	if line.Result.TTL <= 0 {
		cause := errors.Errorf("lease %d", lease)
		return &CallError{Path: wire.PathKeepAlive, Kind: platform.ErrLeaseNotFound, Cause: cause}
	}
	return nil
}

func conflict(key string, expect platform.Revision) error {
	cause := errors.Errorf("key %q is not at revision %d", key, expect)
	return &CallError{Path: wire.PathTxn, Kind: platform.ErrConflict, Cause: cause}
}

// unreadable is the error for an answer with status 200 that can't be decoded.
func unreadable(a access, path string, cause error) error {
	return &CallError{Path: path, Kind: a.unclear(), Cause: cause}
}
