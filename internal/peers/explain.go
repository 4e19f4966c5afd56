package peers

import (
	"context"
	"net"
	"net/rpc"
	"strings"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/explain"
)

// Explain asks the router at a peer address what would become of a request, over a connection of its own. The
// error is ErrNotServed if the router is of a version without the call. No error contains the query.
func Explain(ctx context.Context, address string, query explain.Query) (explain.Report, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return explain.Report{}, errors.Wrap(ErrNotSent, err.Error())
	}
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }() // the answer has been read, or is not waited for
	report := explain.Report{}
	call := client.Go(serviceName+".Explain", query, &report, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return explain.Report{}, errors.Wrap(ErrUnreachable, ctx.Err().Error())
	case <-call.Done:
	}
	switch {
	case call.Error == nil:
		return report, nil
	case !errors.As(call.Error, new(rpc.ServerError)):
		return explain.Report{}, errors.Wrap(ErrUnreachable, call.Error.Error())
	case strings.Contains(call.Error.Error(), "can't find method"):
		return explain.Report{}, errors.Wrap(ErrNotServed, "the router's version can't explain requests")
	}
	return explain.Report{}, call.Error
}
