package standin

import (
	"bytes"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/etcdgw/wire"
)

// rangeKey reads one key.
func (s *Server) rangeKey(c *fiber.Ctx) error {
	var request wire.RangeRequest
	if err := readBody(c, &request); err != nil {
		return err
	}
	// The store's revision is taken first: a watch from the one after it then
	// misses no change that came after the read.
	revision := s.store.Revision()
	value, err := s.store.Get(c.UserContext(), string(request.Key))
	if err != nil {
		return answerStoreError(c, err)
	}
	return c.JSON(rangeResponse(max(revision, value.Revision), value))
}

func rangeResponse(revision platform.Revision, v platform.Value) wire.RangeResponse {
	response := wire.RangeResponse{Header: header(revision)}
	if v.Revision != 0 {
		response.KVs = []wire.KeyValue{keyValue(v)}
		response.Count = 1
	}
	return response
}

func keyValue(v platform.Value) wire.KeyValue {
	return wire.KeyValue{Key: []byte(v.Key), Value: v.Data, ModRevision: int64(v.Revision)}
}

// txn runs a transaction on one key.
func (s *Server) txn(c *fiber.Ctx) error {
	var request wire.TxnRequest
	if err := readBody(c, &request); err != nil {
		return err
	}
	key, err := checkTxn(request)
	if err != nil {
		return err
	}
	expect := platform.Revision(request.Compare[0].ModRevision)
	if put := request.Success[0].Put; put != nil {
		return s.put(c, key, expect, put)
	}
	return s.delete(c, key, expect)
}

// checkTxn refuses what the platform's service does not offer: anything but a
// compare-and-swap of a single key.
func checkTxn(request wire.TxnRequest) (key string, err error) {
	if len(request.Compare) != 1 || len(request.Success) != 1 || len(request.Failure) > 1 {
		return "", invalid("standin: one compare, one success and at most one failure")
	}
	compare := request.Compare[0]
	if compare.Target != wire.TargetMod || compare.Result != wire.ResultEqual {
		return "", invalid("standin: compares only MOD for EQUAL")
	}
	success := request.Success[0]
	switch {
	case success.Put != nil && success.DeleteRange == nil && success.Range == nil:
		err = sameKey(compare.Key, success.Put.Key)
	case success.DeleteRange != nil && success.Put == nil && success.Range == nil:
		err = sameKey(compare.Key, success.DeleteRange.Key)
	default:
		err = invalid("standin: success must be one put or one delete")
	}
	if err != nil {
		return "", err
	}
	for _, failure := range request.Failure {
		if failure.Range == nil || failure.Put != nil || failure.DeleteRange != nil {
			return "", invalid("standin: failure must be a range")
		}
		if err := sameKey(compare.Key, failure.Range.Key); err != nil {
			return "", err
		}
	}
	return string(compare.Key), nil
}

func sameKey(a, b []byte) error {
	if len(a) == 0 || !bytes.Equal(a, b) {
		return invalid("standin: a transaction is on one key")
	}
	return nil
}

func (s *Server) put(c *fiber.Ctx, key string, expect platform.Revision, put *wire.PutRequest) error {
	lease := platform.LeaseID(put.Lease)
	value, err := s.store.CAS(c.UserContext(), key, expect, put.Value, lease)
	if errors.Is(err, platform.ErrConflict) {
		return c.JSON(failedTxn(s.store.Revision(), value))
	}
	if err != nil {
		return answerStoreError(c, err)
	}
	h := header(value.Revision)
	return c.JSON(wire.TxnResponse{
		Header:    h,
		Succeeded: true,
		Responses: []wire.ResponseOp{{Put: &wire.PutResponse{Header: h}}},
	})
}

func (s *Server) delete(c *fiber.Ctx, key string, expect platform.Revision) error {
	value, err := s.store.CompareAndDelete(c.UserContext(), key, expect)
	if errors.Is(err, platform.ErrConflict) {
		return c.JSON(failedTxn(s.store.Revision(), value))
	}
	if err != nil {
		return answerStoreError(c, err)
	}
	h := header(s.store.Revision())
	return c.JSON(wire.TxnResponse{
		Header:    h,
		Succeeded: true,
		Responses: []wire.ResponseOp{{DeleteRange: &wire.DeleteRangeResponse{Header: h}}},
	})
}

func failedTxn(revision platform.Revision, current platform.Value) wire.TxnResponse {
	r := rangeResponse(max(revision, current.Revision), current)
	return wire.TxnResponse{
		Header:    r.Header,
		Responses: []wire.ResponseOp{{Range: &r}},
	}
}

func (s *Server) grantLease(c *fiber.Ctx) error {
	var request wire.LeaseGrantRequest
	if err := readBody(c, &request); err != nil {
		return err
	}
	if request.TTL <= 0 {
		return invalid("standin: TTL must be positive")
	}
	id, err := s.store.GrantLease(c.UserContext(), time.Duration(request.TTL)*time.Second)
	if err != nil {
		return answerStoreError(c, err)
	}
	return c.JSON(wire.LeaseGrantResponse{Header: header(s.store.Revision()), ID: int64(id), TTL: request.TTL})
}

// keepAlive answers a lost lease as etcd does: without an error, TTL zero.
func (s *Server) keepAlive(c *fiber.Ctx) error {
	var request wire.LeaseKeepAliveRequest
	if err := readBody(c, &request); err != nil {
		return err
	}
	id := platform.LeaseID(request.ID)
	err := s.store.KeepAlive(c.UserContext(), id)
	if err != nil && !errors.Is(err, platform.ErrLeaseNotFound) {
		return answerStoreError(c, err)
	}
	response := wire.LeaseKeepAliveResponse{Header: header(s.store.Revision()), ID: request.ID}
	if err == nil {
		response.TTL = int64(s.store.LeaseTTL(id) / time.Second)
	}
	return c.JSON(wire.KeepAliveLine{Result: &response})
}
