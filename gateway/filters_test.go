package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/batch"
	"dandelionrelay/config"
	"dandelionrelay/gossip"
	"dandelionrelay/keyedlog"
	"dandelionrelay/pipeline"
	"dandelionrelay/quota"
	"dandelionrelay/settings"
	"dandelionrelay/standin/keyed"
	"dandelionrelay/standin/streams"
)

// fakeFeed is a ConfigFeed whose Age and LostFor a test sets. A negative age means that
// the state was never confirmed. Other entries confirm nothing.
type fakeFeed struct {
	age, lost time.Duration
	refreshed int // calls of Refresh
}

func (f *fakeFeed) Run(context.Context)        {}
func (f *fakeFeed) Age() (time.Duration, bool) { return f.age, f.age >= 0 }
func (f *fakeFeed) LostFor() time.Duration     { return f.lost }
func (f *fakeFeed) Refresh(context.Context) error {
	f.refreshed++
	return nil
}

func (f *fakeFeed) NextOffset() (int64, bool)               { return 0, false }
func (f *fakeFeed) ConfirmByPeer(int64, time.Duration) bool { return false }
func (f *fakeFeed) ApplyFromPeer([]keyedlog.Record, int64)  {}
func (f *fakeFeed) MergeFromPeer([]keyedlog.Record)         {}

// bound is the withdrawal bound of the gateway under test.
const bound = 5 * time.Second

// testGateway is a Gateway without endpoints: a call that passes all filters fails with
// api.CodeNoEndpoint.
type testGateway struct {
	*gomega.WithT
	*Gateway
	feed  *fakeFeed
	index *keyed.Handle // partition of the job index
	now   time.Duration
}

func newTestGateway(t *testing.T) *testGateway {
	return newTestGatewayWithLevels(t, keyed.NewLog(1))
}

// newTestGatewayWithLevels returns a gateway that reads and stores the token-bucket
// levels in levels.
func newTestGatewayWithLevels(t *testing.T, levels *keyed.Log) *testGateway {
	r := &testGateway{WithT: gomega.NewWithT(t), feed: &fakeFeed{}, now: time.Hour}
	log := keyed.NewLog(1)
	r.index = &keyed.Handle{Log: log}
	r.Gateway = New(Deps{
		Providers: Providers{
			Config: new(config.Holder), ConfigFeed: r.feed, EndpointFeed: r.feed,
			Members: &keyed.Handle{Log: log}, Suspects: &keyed.Handle{Log: log}, Levels: &keyed.Handle{Log: levels}, Jobs: r.index, Contents: []batch.Store{&keyed.Handle{Log: log}},
			Dialect: streams.Dialect{},
		},
		Settings: &settings.Gateway{ID: "self", WithdrawalBound: config.Duration(bound), LimitSlack: 10},
		Clock:    func() time.Duration { return r.now },
		Log:      zerolog.Nop(),
		Registry: prometheus.NewRegistry(),
	})
	r.members.Reset(nil)
	r.ShareUpdate(gossip.Share{Observed: 1, Own: 1, ValidUntil: 2 * time.Hour})
	return r
}

// configure applies a configuration with a route that needs a key and an open route. It
// advances the clock by a minute.
func (r *testGateway) configure() {
	route := func(prefix string, open bool) config.Route {
		return config.Route{PathPrefix: prefix, Deployment: "lm", Open: open, Timeout: config.Duration(5 * time.Second),
			Provided: &config.ProvidedRoute{Host: "h.example", MaxEndpoints: 1, Goal: 300 * time.Millisecond,
				Split: []config.WeightedShare{{Deployment: "one", Weight: 9}, {Deployment: "two", Weight: 1}}}}
	}
	s := config.NewSnapshot(1, &config.State{
		Customers: map[string]config.Customer{"garden": {Rate: 2, Burst: 3}},
		Keys:      map[string]config.Key{"garden/0": {Customer: "garden", Digest: authn.Digest("key")}},
		Routes:    map[string]config.Route{"keyed": route("/keyed/", false), "open": route("/open/", true)},
	})
	r.ConfigChanged(s)
	r.Config.Set(s)
	r.now += time.Minute // refill the token buckets
}

// serve serves a call and returns its error.
func (r *testGateway) serve(path, key string) *api.Error {
	request := httptest.NewRequest(http.MethodPost, "http://H.example:80"+path, nil)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return r.Serve(context.Background(), &pipeline.Call{
		W: httptest.NewRecorder(), R: request, ID: "q", Received: time.Now(), Snapshot: r.Config.Current(),
	})
}

func TestGateway_RefusesCallsWithoutConfig(t *testing.T) {
	r := newTestGateway(t)
	err := r.serve("/keyed/x", "key")
	r.Expect(err.Status).To(gomega.Equal(http.StatusServiceUnavailable))
	r.Expect(err.RetryAfter).To(gomega.BeNumerically(">", 0))
	r.Expect(r.Ready()).To(gomega.BeFalse())
}

func TestGateway_UnknownRouteOrKeyRejectedOnlyWithRecentConfig(t *testing.T) {
	r := newTestGateway(t)
	r.configure()
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/none/x", "key", http.StatusNotFound},
		{"/keyed/x", "wrong", http.StatusUnauthorized},
		{"/keyed/x", "", http.StatusUnauthorized},
	} {
		r.feed.age, r.feed.lost = 0, 0
		r.Expect(r.serve(c.path, c.key).Status).To(gomega.Equal(c.status))
		r.feed.age = maxAgeToReject + 1
		r.Expect(r.serve(c.path, c.key).Status).To(gomega.Equal(http.StatusServiceUnavailable))
		r.feed.age, r.feed.lost = 0, 1
		r.Expect(r.serve(c.path, c.key).Status).To(gomega.Equal(http.StatusServiceUnavailable))
	}
}

// Calls with a key are refused before the withdrawal bound is reached, calls on open
// routes are not.
func TestGateway_RefusesUnconfirmedKeys(t *testing.T) {
	r := newTestGateway(t)
	r.configure()
	r.Expect(r.serve("/keyed/x", "key").Code).To(gomega.Equal(api.CodeNoEndpoint), "passes all filters")
	r.feed.age = bound - withdrawalMargin
	r.Expect(r.serve("/keyed/x", "key").Code).To(gomega.Equal(api.CodeConfigStale))
	r.Expect(r.serve("/open/x", "").Code).To(gomega.Equal(api.CodeNoEndpoint))
	r.feed.age = -1
	r.Expect(r.serve("/keyed/x", "key").Code).To(gomega.Equal(api.CodeConfigStale), "never confirmed")
}

// While no entry reaches the store, the Retry-After is longer than that of an entry that
// has just started.
func TestGateway_RetryAfterDuringOutage(t *testing.T) {
	r := newTestGateway(t)
	r.configure()
	r.feed.age = bound
	r.Expect(r.serve("/keyed/x", "key").RetryAfter).To(gomega.Equal(outageRetryAfter))
}

// Calls over the rate get 429. The token of a call that was not run is refunded.
func TestGateway_RefundsTokensOfCallsNotRun(t *testing.T) {
	r := newTestGateway(t)
	r.configure()
	for range 20 {
		r.Expect(r.serve("/keyed/x", "key").Code).To(gomega.Equal(api.CodeNoEndpoint))
	}
	for r.limits.Admit(r.now, "garden").Admitted {
	}
	err := r.serve("/keyed/x", "key")
	r.Expect(err.Status).To(gomega.Equal(http.StatusTooManyRequests))
	r.Expect(err.RetryAfter).To(gomega.BeNumerically("<=", 500*time.Millisecond), "one token is refilled in 500 ms")
	r.now += time.Second
	r.Expect(r.serve("/keyed/x", "key").Code).To(gomega.Equal(api.CodeNoEndpoint))
}

// Calls on jobs need the store. While it is known to be out of reach they are refused at
// once, with the time after which another entry can serve them.
func TestGateway_RefusesCallsOnJobsAtOnceWithoutStore(t *testing.T) {
	r := newTestGateway(t)
	r.configure()
	call := func() *pipeline.Call {
		request := httptest.NewRequest(http.MethodPost, "http://h.example/keyed/x", nil)
		request.Header.Set("Authorization", "Bearer key")
		return &pipeline.Call{W: httptest.NewRecorder(), R: request, ID: "j", Received: time.Now(), Snapshot: r.Config.Current()}
	}
	for _, c := range []struct {
		fault   keyed.Fault
		refused bool
	}{{keyed.None, false}, {keyed.Unreachable, true}, {keyed.None, false}} {
		r.index.SetFault(c.fault)
		_ = r.jobsFollower.Refresh(t.Context())
		r.now += time.Second
		for name, serve := range map[string]pipeline.Handler{"submit": r.RouteAndAuthenticate, "call": r.Authenticate} {
			err := serve(t.Context(), call())
			if !c.refused {
				r.Expect(err).To(gomega.BeNil(), name)
				continue
			}
			r.Expect(err).NotTo(gomega.BeNil(), name)
			r.Expect(err.Status).To(gomega.Equal(http.StatusServiceUnavailable))
			r.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
			r.Expect(err.RetryAfter).To(gomega.Equal(r.StoreRetryAfter()))
		}
	}
}

func TestGateway_SplitsRequestsByWeight(t *testing.T) {
	r := newTestGateway(t)
	r.configure()
	count := make(map[string]int)
	for range 1000 {
		c := &pipeline.Call{Route: r.Config.Current().State.Routes["keyed"]}
		r.chooseDeployment(c)
		count[c.Route.Deployment]++
		r.Expect(c.NextDeployments).To(gomega.HaveLen(1))
	}
	r.Expect(count["two"]).To(gomega.BeNumerically("~", 100, 50))
}

// Admissions of an entry that started earlier are not charged, as buckets start empty.
// Admissions of an entry that started together with this one are charged.
func TestGateway_CountsPeerAdmissionsSinceStart(t *testing.T) {
	for uptime, counted := range map[time.Duration]bool{
		startupSkew - time.Millisecond: true,
		startupSkew:                    false,
	} {
		r := newTestGateway(t)
		r.configure()
		full := r.limits.Admit(r.now, "garden").Level
		r.started = r.now
		r.PeerReport("other", 1, gossip.Report{Uncounted: true, Uptime: uptime, Counts: gossip.Counts{Full: true, ByCustomer: map[quota.Key]quota.Count{quota.KeyOf("garden"): 9}}})
		r.Expect(r.limits.Admit(r.now, "garden").Level < full-5).To(gomega.Equal(counted), "uptime %v", uptime)
	}
}

// An entry that starts loads the stored token-bucket levels. A fleet that has never run
// starts with empty buckets.
func TestGateway_InheritsStoredLevels(t *testing.T) {
	levels := keyed.NewLog(1)
	first := newTestGatewayWithLevels(t, levels)
	first.Expect(first.inheritLevels(t.Context())).To(gomega.BeTrue())
	first.configure()
	left, known := first.limits.Levels(first.now)
	first.Expect(known).To(gomega.BeTrue())
	first.Expect(first.storeLevels(t.Context(), left)).To(gomega.Succeed())

	admits := func(inherit bool) int {
		r := newTestGatewayWithLevels(t, levels)
		if inherit {
			r.Expect(r.inheritLevels(t.Context())).To(gomega.BeTrue())
		}
		r.configure()
		r.now -= time.Minute // undo the refill of configure
		n := 0
		for r.limits.Admit(r.now, "garden").Admitted {
			n++
		}
		return n
	}
	first.Expect(admits(true)).To(gomega.BeNumerically(">", admits(false)))
}
