package link

import (
	"context"
	"math"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/instance"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/storage"
)

// Instances queries all peers concurrently for the instances that they know,
// so that an entry can start while the platform is down. Failed peers are
// ignored. If several peers return the same instance, the last answer wins.
func (f Fetcher) Instances(ctx context.Context, addresses []string) []storage.Instance {
	var mu sync.Mutex
	known := make(map[string]storage.Instance)
	var group errgroup.Group
	for _, address := range addresses {
		group.Go(func() error {
			// no version is that high, so the response has no configuration
			// body
			res, err := f.fetchConfig(ctx, address, &rpc.FetchConfigRequest{MinVersion: math.MaxUint64, Instances: true})
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			for _, in := range res.GetInstances() {
				known[in.GetId()] = toInstance(in, address)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	list := make([]storage.Instance, 0, len(known))
	for _, in := range known {
		list = append(list, in)
	}
	return list
}

func toInstance(in *rpc.PeerInstance, peerAddress string) storage.Instance {
	address := in.GetAddress()
	if address == "" {
		address = peerAddress
	}
	return storage.Instance{
		ID: in.GetId(), Role: storage.Role(in.GetRole()), DataCentre: in.GetDataCentre(), Address: address,
		Service: in.GetService(), State: storage.InstanceState(in.GetState()),
	}
}

// listedInstances returns the instances that an entry knows from the
// platform's list.
func listedInstances(members *instance.Table) []*rpc.PeerInstance {
	now := time.Now()
	var list []*rpc.PeerInstance
	for _, role := range []storage.Role{storage.RoleEntry, storage.RoleAgent} {
		for _, m := range members.Members(role, now) {
			list = append(list, &rpc.PeerInstance{
				Id: m.ID, Role: string(m.Role), DataCentre: m.DataCentre, Address: m.Address,
				Service: m.Service, State: string(m.State),
			})
		}
	}
	return list
}

// ownInstance describes the agent itself, without its address, which the
// requesting peer knows.
func (a *AgentServer) ownInstance() []*rpc.PeerInstance {
	state := storage.InstanceLive
	if a.gossip.leaving.Load() {
		state = storage.InstanceLeaving
	}
	return []*rpc.PeerInstance{{
		Id: a.cfg.ID, Role: string(storage.RoleAgent), DataCentre: a.cfg.DataCentre, Service: a.cfg.Service, State: string(state),
	}}
}
