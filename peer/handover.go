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

// handOverClient makes one call on a connection: jobs are handed over once in
// the life of a process, and a kept connection could have gone silent.
var handOverClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// OnHandOver sets what receives jobs that peers hand over. It is set before Run.
func (e *Exchange) OnHandOver(f func(job []byte) error) { e.takeOver = f }

// HandOver gives a job to the peer at an address. The caller's context bounds
// it. An error leaves open whether the peer has taken the job.
func (e *Exchange) HandOver(ctx context.Context, address string, job []byte) error {
	service := magnoliausherv1connect.NewGatewayClient(handOverClient, "http://"+address)
	_, err := service.HandOverJob(ctx, connect.NewRequest(&rpc.HandOverJobRequest{Job: job}))
	return trace.Wrap(err)
}

// HandOverJob implements the service for peers.
func (e *Exchange) HandOverJob(_ context.Context, request *connect.Request[rpc.HandOverJobRequest]) (*connect.Response[rpc.HandOverJobResponse], error) {
	if e.takeOver == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no jobs are taken over here"))
	}
	if err := e.takeOver(request.Msg.Job); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&rpc.HandOverJobResponse{}), nil
}
