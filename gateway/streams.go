package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/gossip"
	"dandelionrelay/origin"
	"dandelionrelay/pipeline"
)

// Names of the RPC service that entries ask where a stream began.
const (
	streamService = "Streams"
	methodOrigin  = "Streams.Origin"
)

const (
	// originTimeout bounds the search for the origin of a stream that a caller takes up.
	originTimeout = 250 * time.Millisecond
	// streamAges is the age, in timeouts of its route, above which no stream is taken up:
	// callers wait for one timeout in all.
	streamAges = 2
)

// routeTargets returns the deployments to which the online routes of a configuration lead.
func routeTargets(s *config.State) []origin.Route {
	var list []origin.Route
	for id, r := range s.Routes {
		if r.Provided != nil && r.Provided.Stream {
			list = append(list, origin.Route{ID: id, Deployments: r.Deployments(), MaxAge: streamAges * time.Duration(r.Timeout)})
		}
	}
	return list
}

// recordOrigin records where the stream of an attempt begins, here and at a few others.
func (g *Gateway) recordOrigin(id string, o origin.Origin) {
	g.origins.Record(id, o)
	g.node.AnnounceStream(id, o)
}

// StreamBegan implements gossip.Listener.
func (g *Gateway) StreamBegan(id string, o origin.Origin) { g.origins.Record(id, o) }

// resolveOrigin is a filter that finds out where a stream began that the caller takes up,
// and has it go on there. It refuses a stream whose origin can't be known, and one whose
// route no longer leads to where it began.
func (g *Gateway) resolveOrigin(next pipeline.Handler) pipeline.Handler {
	return func(ctx context.Context, c *pipeline.Call) *api.Error {
		if c.Resumption == nil || !c.Route.Provided.Stream {
			return next(ctx, c)
		}
		o, ok := g.findOrigin(ctx, c)
		if !ok {
			return g.originUnknownError()
		}
		if !slices.Contains(c.Route.Deployments(), o.Deployment) {
			return notRunError(http.StatusServiceUnavailable, api.CodeVersionGone, "the route no longer leads to where the stream began", 0)
		}
		c.Resumption.Version = o.Version
		c.Route.Deployment, c.NextDeployments = o.Deployment, nil
		return next(ctx, c)
	}
}

// originUnknownError returns the error for a stream whose origin can't be known. It is worth
// another try if this entry has just started or doesn't reach the store.
func (g *Gateway) originUnknownError() *api.Error {
	var retryAfter time.Duration
	switch {
	case g.EndpointFeed.LostFor() > 0:
		retryAfter = g.StoreRetryAfter()
	case !g.originsInherited.Load():
		retryAfter = startupRetryAfter
	}
	return notRunError(http.StatusServiceUnavailable, api.CodeVersionUnknown, "it is not known which version of the software began the stream", retryAfter)
}

// findOrigin returns where the stream began that a call takes up: from what this entry has
// recorded, as the only possibility, or from another entry. It returns false if none of
// them knows.
func (g *Gateway) findOrigin(ctx context.Context, c *pipeline.Call) (origin.Origin, bool) {
	began := g.Clock()
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	question := OriginArgs{Attempt: c.Resumption.Attempt, Route: c.RouteID}
	answer := g.knownOrigin(ctx, question)
	by := g.Settings.ID
	if answer.Evidence == originUnknown {
		answer, by = g.askForOrigin(ctx, c, question)
	}
	if answer.Evidence == originRecorded {
		g.origins.Record(question.Attempt, answer.Origin)
	}
	g.resumed.WithLabelValues(string(answer.Evidence)).Inc()
	g.logOrigin(c, answer, by, g.Clock()-began)
	return answer.Origin, answer.Evidence != originUnknown
}

func (g *Gateway) logOrigin(c *pipeline.Call, answer OriginReply, by string, took time.Duration) {
	g.Log.Info().Str("request", c.ID).Str("resumes", c.Resumption.Attempt).Int64("after_event", c.Resumption.Cursor.LastID).
		Str("outcome", string(answer.Evidence)).Str("by", by).Str("deployment", answer.Origin.Deployment).Str("version", answer.Origin.Version).
		Dur("took_ms", took).Msg("origin of a resumed stream")
}

// Evidence is how the origin of a stream is known.
type Evidence string

// The kinds of evidence.
const (
	originUnknown  Evidence = "unknown"
	originRecorded Evidence = "recorded" // by the entry that began the stream
	originOnly     Evidence = "only"     // no other was possible
)

// newResumedCounter registers the counter of streams that callers take up.
func newResumedCounter(reg prometheus.Registerer) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "relay_resumed_streams_total",
		Help: "Streams that callers took up, by how it is known where they began: recorded, only (there was one version) or unknown.",
	}, []string{"evidence"})
	reg.MustRegister(c)
	for _, e := range []Evidence{originUnknown, originRecorded, originOnly} {
		c.WithLabelValues(string(e))
	}
	return c
}

// OriginArgs asks where a stream began.
type OriginArgs struct {
	Attempt string // that brought its first event; empty: not known
	Route   string // ID
}

// OriginReply is the answer to OriginArgs.
type OriginReply struct {
	Evidence Evidence
	Origin   origin.Origin
}

// knownOrigin returns the origin of a stream as far as this entry knows it.
func (g *Gateway) knownOrigin(ctx context.Context, args OriginArgs) OriginReply {
	if o, ok := g.origins.Find(args.Attempt); ok {
		return OriginReply{Evidence: originRecorded, Origin: o}
	}
	if _, ok := g.listed.Only(args.Route); !ok || !g.confirmEndpoints(ctx) {
		return OriginReply{Evidence: originUnknown}
	}
	// The list has been confirmed after the stream began, so it holds the endpoint that
	// began it if the endpoint is still listed.
	o, ok := g.listed.Only(args.Route)
	if !ok {
		return OriginReply{Evidence: originUnknown}
	}
	return OriginReply{Evidence: originOnly, Origin: o}
}

// askForOrigin asks the entries that may know the origin of a stream at the same time. It
// returns the first answer that knows it, and the name of the entry.
func (g *Gateway) askForOrigin(ctx context.Context, c *pipeline.Call, args OriginArgs) (OriginReply, string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	key := args.Attempt
	if key == "" {
		key = c.ID
	}
	candidates := g.node.StreamCandidates(key)
	replies := make(chan peerOrigin, len(candidates))
	for _, m := range candidates {
		go func() { replies <- g.askPeerForOrigin(ctx, m, args) }()
	}
	for range candidates {
		if r := <-replies; r.Evidence != originUnknown {
			return r.OriginReply, r.name
		}
	}
	return OriginReply{Evidence: originUnknown}, ""
}

// peerOrigin is the reply of another entry.
type peerOrigin struct {
	OriginReply
	name string
}

func (g *Gateway) askPeerForOrigin(ctx context.Context, m gossip.Member, args OriginArgs) peerOrigin {
	var reply OriginReply
	if err := g.peerPool.Call(ctx, m.Address, methodOrigin, args, &reply); err != nil {
		g.Log.Debug().Err(err).Str("peer", m.Name).Str("resumes", args.Attempt).Msg("could not ask another entry for the origin of a stream")
		return peerOrigin{OriginReply: OriginReply{Evidence: originUnknown}}
	}
	return peerOrigin{OriginReply: reply, name: m.Name}
}

// streamRPC is the service under streamService.
type streamRPC struct{ g *Gateway }

// Origin returns the origin of a stream as far as this entry knows it.
func (s *streamRPC) Origin(args OriginArgs, reply *OriginReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
	defer cancel()
	*reply = s.g.knownOrigin(ctx, args)
	return nil
}
