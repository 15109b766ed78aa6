package jobs

import (
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/membership"
	"dandelionrelay/peer"
	"dandelionrelay/sleep"
)

// maxOwnersPerPull is the largest number of owners that one pull calls.
const maxOwnersPerPull = 8

// maxPollWait bounds the wait at one owner when there are several, so that
// items of the other owners are found soon.
const maxPollWait = time.Second

// rpcMargin is added to the time that an owner may take for a call.
const rpcMargin = 2 * time.Second

// Client calls the job service from a sidecar. It finds the owners of the
// partitions among the entries and is safe for concurrent use.
type Client struct {
	members membership.Members
	pool    *peer.Pool

	mu               sync.Mutex
	entryIDs         []string         // IDs of the entries at the last refresh
	owners           []infra.Instance // entries that own at least one partition
	ownerByPartition [Partitions]infra.Instance
	nextIndex        int // into owners, of the next one to pull from; taken modulo their number
}

// NewClient returns a Client. firstOwner is the index of the owner to pull from
// first, taken modulo the number of owners. Each client should have a different
// one, for instance a random number, so that the clients spread over the owners.
func NewClient(members membership.Members, pool *peer.Pool, firstOwner int) *Client {
	return &Client{members: members, pool: pool, nextIndex: max(firstOwner, 0)}
}

// refresh recomputes the owners if the entries have changed. The caller holds
// the lock.
func (c *Client) refresh() {
	entries := c.members.Entries()
	ids := make([]string, 0, len(entries))
	for _, e := range entries {
		ids = append(ids, e.ID)
	}
	if slices.Equal(ids, c.entryIDs) {
		return
	}
	c.entryIDs = ids
	c.owners = nil
	for n := range Partitions {
		c.ownerByPartition[n] = infra.Instance{}
		if len(entries) == 0 {
			continue
		}
		first := membership.Rank(streamName(n), entries)[0]
		c.ownerByPartition[n] = first
		if !slices.ContainsFunc(c.owners, func(o infra.Instance) bool { return o.ID == first.ID }) {
			c.owners = append(c.owners, first)
		}
	}
}

// nextOwners returns the owners that the next pull calls, in rotation.
func (c *Client) nextOwners() []infra.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	n := min(len(c.owners), maxOwnersPerPull)
	out := make([]infra.Instance, 0, n)
	for i := range n {
		out = append(out, c.owners[(c.nextIndex+i)%len(c.owners)])
	}
	c.nextIndex += n
	return out
}

// ownerOf returns the owner of the partition of a job.
func (c *Client) ownerOf(job string) (infra.Instance, bool) {
	n, ok := partitionOf(jobPrefix, job)
	if !ok {
		return infra.Instance{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.ownerByPartition[n], c.ownerByPartition[n].ID != ""
}

// Pull asks up to maxOwnersPerPull owners for up to args.Slots items. If there
// are none it waits at the last of these owners, for at most args.Wait, or
// maxPollWait if there are several. An empty reply is not an error; an error
// means that no owner could be reached.
func (c *Client) Pull(ctx context.Context, args api.PullArgs) (api.PullReply, error) {
	var out api.PullReply
	var failure error
	owners := c.nextOwners()
	reached := false
	for i, o := range owners {
		ownerArgs := args
		ownerArgs.Slots -= len(out.Work)
		ownerArgs.Wait = 0
		if i == len(owners)-1 && len(out.Work) == 0 {
			ownerArgs.Wait = args.Wait
			if len(owners) > 1 {
				ownerArgs.Wait = min(args.Wait, maxPollWait)
			}
		}
		var reply api.PullReply
		if err := c.call(ctx, o, api.MethodPull, ownerArgs, &reply, ownerArgs.Wait+beginTimeout); err != nil {
			failure = err
			continue
		}
		reached = true
		out.Work = append(out.Work, reply.Work...)
		if len(out.Work) >= args.Slots {
			break
		}
	}
	if len(out.Work) == 0 && failure != nil {
		sleep.For(ctx, min(args.Wait, maxPollWait)) // calls to an owner that is down fail at once
	}
	if !reached && failure != nil {
		return out, failure
	}
	return out, nil
}

func (c *Client) call(ctx context.Context, to infra.Instance, method string, args, reply any, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+rpcMargin)
	defer cancel()
	return c.pool.Call(ctx, to.RPCAddr, method, args, reply)
}

// Report sends results and the heartbeat to the owners of their jobs. After an
// error none, some or all of the results are durable: the caller keeps all of
// them, names them in Running and reports them again.
func (c *Client) Report(ctx context.Context, args api.ReportArgs) (api.ReportReply, error) {
	var out api.ReportReply
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failure error
	for owner, parts := range c.splitByOwner(args) {
		wg.Go(func() {
			for _, part := range parts {
				var reply api.ReportReply
				err := c.call(ctx, owner, api.MethodReport, part, &reply, ReportTimeout)
				mu.Lock()
				out.Stop = append(out.Stop, reply.Stop...)
				if err != nil {
					failure = err
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return out, failure
}

// splitByOwner groups a report by owner and splits it into calls whose result
// bodies total at most ReportBytes; a larger result gets a call of its own. The
// first call to an owner carries the heartbeat, if there is one, and may have no
// results.
func (c *Client) splitByOwner(args api.ReportArgs) map[infra.Instance][]api.ReportArgs {
	out := make(map[infra.Instance][]api.ReportArgs)
	last := func(o infra.Instance) *api.ReportArgs {
		if len(out[o]) == 0 {
			out[o] = []api.ReportArgs{{Endpoint: args.Endpoint, DataCentre: args.DataCentre}}
		}
		return &out[o][len(out[o])-1]
	}
	for _, ref := range args.Running {
		if o, ok := c.ownerOf(ref.Job); ok {
			part := last(o)
			part.Running = append(part.Running, ref)
		}
	}
	bytes := make(map[infra.Instance]int)
	for _, r := range args.Results {
		o, ok := c.ownerOf(r.Job)
		if !ok {
			continue
		}
		if bytes[o]+len(r.Body) > ReportBytes {
			out[o] = append(out[o], api.ReportArgs{Endpoint: args.Endpoint, DataCentre: args.DataCentre})
			bytes[o] = 0
		}
		bytes[o] += len(r.Body)
		part := last(o)
		part.Results = append(part.Results, r)
	}
	return out
}
