// Package wire holds the messages of the etcd v3 JSON gateway that the adapter
// etcdgw and the stand-in platform exchange: single-key range and transaction,
// lease grant and keep-alive, and watch.
//
// The field names and the mapping (bytes as base64, 64-bit numbers as strings,
// zero fields left out) are those of etcd's rpc.proto and kv.proto under the
// protobuf JSON mapping: https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
package wire

// Paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathWatch     = "/v3/watch"
)

// Names of the enumeration values in use.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
	EventDelete = "DELETE" // a put is the zero value and left out
)

// gRPC status codes in the gateway's error bodies.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeUnavailable       = 14
)

// Texts of the errors that etcd itself sends (api/v3rpc/rpctypes/error.go).
const (
	TextTooLarge        = "etcdserver: request is too large"
	TextTooManyRequests = "etcdserver: too many requests"
	TextLeaseNotFound   = "etcdserver: requested lease not found"
	TextNoLeader        = "etcdserver: no leader"
)

// Header comes with each answer.
type Header struct {
	ClusterID uint64 `json:"cluster_id,string,omitempty"`
	MemberID  uint64 `json:"member_id,string,omitempty"`
	Revision  int64  `json:"revision,string,omitempty"`
	RaftTerm  uint64 `json:"raft_term,string,omitempty"`
}

// KeyValue is one key at one revision.
type KeyValue struct {
	Key         []byte `json:"key,omitempty"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key.
type RangeRequest struct {
	Key []byte `json:"key"`
}

// RangeResponse holds no KeyValue if the key does not exist.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// Compare is a transaction's condition.
type Compare struct {
	Target      string `json:"target"`
	Result      string `json:"result"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes one key.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one step of a transaction: one of its fields is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs Success if all of Compare hold, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeResponse answers a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

// ResponseOp answers the RequestOp of the same place.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseGrantRequest asks for a lease of TTL seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseGrantResponse names the lease and the TTL in seconds that it got.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
	Error  string `json:"error,omitempty"`
}

// LeaseKeepAliveRequest renews a lease once.
type LeaseKeepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseKeepAliveResponse has TTL zero if the lease does not exist.
type LeaseKeepAliveResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveLine is one line of the keep-alive stream.
type KeepAliveLine struct {
	Result *LeaseKeepAliveResponse `json:"result,omitempty"`
	Error  *StreamError            `json:"error,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest watches one key from StartRevision on.
type WatchCreateRequest struct {
	Key            []byte `json:"key"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// Event is one change of a watched key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch. One without events tells of
// progress only.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchLine is one line of the watch stream.
type WatchLine struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *StreamError   `json:"error,omitempty"`
}

// ErrorBody is the body of an answer with an error status.
type ErrorBody struct {
	Error   string `json:"error,omitempty"`
	Message string `json:"message,omitempty"`
	Code    int    `json:"code,omitempty"`
}

// StreamError ends a stream. Older gateways send grpc_code, newer ones code.
type StreamError struct {
	GRPCCode int    `json:"grpc_code,omitempty"`
	Code     int    `json:"code,omitempty"`
	Message  string `json:"message,omitempty"`
}
