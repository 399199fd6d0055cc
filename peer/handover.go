package peer

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
)

// handOverClient opens a connection for each call. A process hands over its jobs
// only once, and an idle kept-alive connection could be dead by then.
var handOverClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// OnHandOver sets the callback for jobs that peers hand over. It must be called
// before Run.
func (e *Exchange) OnHandOver(f func(job []byte) error) { e.onHandOver = f }

// HandOver hands a job over to the peer at an address, within the caller's
// context. After an error, the peer may or may not have taken the job.
func (e *Exchange) HandOver(ctx context.Context, address string, job []byte) error {
	service := magnoliausherv1connect.NewGatewayClient(handOverClient, "http://"+address)
	_, err := service.HandOverJob(ctx, connect.NewRequest(&rpc.HandOverJobRequest{Job: job}))
	return trace.Wrap(err)
}

// HandOverJob implements the RPC service.
func (e *Exchange) HandOverJob(_ context.Context, request *connect.Request[rpc.HandOverJobRequest]) (*connect.Response[rpc.HandOverJobResponse], error) {
	if e.onHandOver == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this process does not take over jobs"))
	}
	if err := e.onHandOver(request.Msg.Job); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&rpc.HandOverJobResponse{}), nil
}
