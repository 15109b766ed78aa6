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

// sweepOwners is the number of owners that one pull asks.
const maxOwnersPerPull = 8

// pollWait bounds the wait at one owner when there are several, so that work
// of the others is found soon.
const maxPollWait = time.Second

// rpcMargin is added to the time that a call may take at the owner.
const rpcMargin = 2 * time.Second

// Client is the sidecars' side of the job service. It finds the owners of the
// partitions among the entries and is safe for concurrent use.
type Client struct {
	members membership.Members
	pool    *peer.Pool

	mu               sync.Mutex
	entryIDs         []string         // ids of the entries at the last look
	owners           []infra.Instance // those that own partitions
	ownerByPartition [Partitions]infra.Instance
	nextIndex        int // rotates over owners
}

// NewClient returns a Client. turn spreads the clients over the owners: give
// each another one, for instance a random number.
func NewClient(members membership.Members, pool *peer.Pool, turn int) *Client {
	return &Client{members: members, pool: pool, nextIndex: max(turn, 0)}
}

// refresh works out the owners if the entries changed. The caller holds the
// lock.
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

// next returns the owners to ask now.
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

// ownerOf returns the owner of a job's partition.
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

// Pull asks some owners for up to args.Slots items, and waits up to args.Wait
// at the last of them if there are none. No work is no error; an error means
// that no owner could be reached.
func (c *Client) Pull(ctx context.Context, args api.PullArgs) (api.PullReply, error) {
	var out api.PullReply
	var failure error
	owners := c.nextOwners()
	reached := false
	for i, o := range owners {
		ask := args
		ask.Slots -= len(out.Work)
		ask.Wait = 0
		if i == len(owners)-1 && len(out.Work) == 0 {
			ask.Wait = args.Wait
			if len(owners) > 1 {
				ask.Wait = min(args.Wait, maxPollWait)
			}
		}
		var reply api.PullReply
		if err := c.call(ctx, o, api.MethodPull, ask, &reply, ask.Wait+beginTimeout); err != nil {
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
		sleep.For(ctx, min(args.Wait, maxPollWait)) // an owner that is down answers at once
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

// Report hands results and the heartbeat to the owners of their jobs. On an
// error none or some of the results are durable: keep all of them, name them
// in Running and report them again.
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

// split sorts a report by owner and cuts it into calls of bounded size. The
// first call to an owner carries the heartbeat.
func (c *Client) splitByOwner(args api.ReportArgs) map[infra.Instance][]api.ReportArgs {
	out := make(map[infra.Instance][]api.ReportArgs)
	last := func(o infra.Instance) *api.ReportArgs {
		if len(out[o]) == 0 {
			out[o] = []api.ReportArgs{{Endpoint: args.Endpoint}}
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
			out[o] = append(out[o], api.ReportArgs{Endpoint: args.Endpoint})
			bytes[o] = 0
		}
		bytes[o] += len(r.Body)
		part := last(o)
		part.Results = append(part.Results, r)
	}
	return out
}
