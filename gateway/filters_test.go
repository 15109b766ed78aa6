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
	"dandelionrelay/pipeline"
	"dandelionrelay/quota"
	"dandelionrelay/settings"
	"dandelionrelay/standin/keyed"
	"dandelionrelay/standin/streams"
)

// feed is a followed partition whose freshness a test sets.
type feed struct{ age, lost time.Duration }

func (f *feed) Run(context.Context)        {}
func (f *feed) Age() (time.Duration, bool) { return f.age, f.age >= 0 }
func (f *feed) LostFor() time.Duration     { return f.lost }

// bound is the bound of withdrawals of the rig.
const bound = 5 * time.Second

// rig is a gateway without endpoints: what all filters let pass is refused as
// having no endpoint.
type rig struct {
	*gomega.WithT
	*Gateway
	feed *feed
	now  time.Duration
}

func newRig(t *testing.T) *rig {
	return newRigOver(t, keyed.NewLog(1))
}

// newRigOver returns a rig of a fleet that keeps the levels of limits in levels.
func newRigOver(t *testing.T, levels *keyed.Log) *rig {
	r := &rig{WithT: gomega.NewWithT(t), feed: &feed{}, now: time.Hour}
	log := keyed.NewLog(1)
	r.Gateway = New(Deps{
		Providers: Providers{
			Config: new(config.Holder), ConfigFeed: r.feed, EndpointFeed: r.feed,
			Members: &keyed.Handle{Log: log}, Suspects: &keyed.Handle{Log: log}, Levels: &keyed.Handle{Log: levels}, Jobs: &keyed.Handle{Log: log}, Contents: []batch.Store{&keyed.Handle{Log: log}},
			Dialect: streams.Dialect{},
		},
		Settings: &settings.Gateway{ID: "self", Withdrawal: config.Duration(bound), LimitSlack: 10},
		Clock:    func() time.Duration { return r.now },
		Log:      zerolog.Nop(),
		Registry: prometheus.NewRegistry(),
	})
	r.members.Reset(nil)
	r.ShareUpdate(gossip.Share{Fraction: 1, SoloFraction: 1, ValidUntil: 2 * time.Hour})
	return r
}

// configure puts a configuration in force with a keyed and an open route.
func (r *rig) configure() {
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
	r.now += time.Minute // buckets fill
}

// ask sends a call and returns the error with which it is answered.
func (r *rig) ask(path, key string) *api.Error {
	request := httptest.NewRequest(http.MethodPost, "http://H.example:80"+path, nil)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return r.Serve(context.Background(), &pipeline.Call{
		W: httptest.NewRecorder(), R: request, ID: "q", Received: time.Now(), Snapshot: r.Config.Current(),
	})
}

func TestNothingIsServedBeforeAConfiguration(t *testing.T) {
	r := newRig(t)
	err := r.ask("/keyed/x", "key")
	r.Expect(err.Status).To(gomega.Equal(http.StatusServiceUnavailable))
	r.Expect(err.RetryAfter).To(gomega.BeNumerically(">", 0))
	r.Expect(r.Ready()).To(gomega.BeFalse())
}

func TestWhatIsUnknownIsRefusedForGoodByAFreshConfigurationOnly(t *testing.T) {
	r := newRig(t)
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
		r.Expect(r.ask(c.path, c.key).Status).To(gomega.Equal(c.status))
		r.feed.age = maxAgeToReject + 1
		r.Expect(r.ask(c.path, c.key).Status).To(gomega.Equal(http.StatusServiceUnavailable))
		r.feed.age, r.feed.lost = 0, 1
		r.Expect(r.ask(c.path, c.key).Status).To(gomega.Equal(http.StatusServiceUnavailable))
	}
}

// Keyed calls stop before the bound of withdrawals, open ones do not.
func TestKeysAreGoodWhileTheyAreConfirmed(t *testing.T) {
	r := newRig(t)
	r.configure()
	r.Expect(r.ask("/keyed/x", "key").Code).To(gomega.Equal(api.CodeNoEndpoint), "all filters let it pass")
	r.feed.age = bound - withdrawalMargin
	r.Expect(r.ask("/keyed/x", "key").Code).To(gomega.Equal(api.CodeConfigStale))
	r.Expect(r.ask("/open/x", "").Code).To(gomega.Equal(api.CodeNoEndpoint))
	r.feed.age = -1
	r.Expect(r.ask("/keyed/x", "key").Code).To(gomega.Equal(api.CodeConfigStale), "never confirmed")
}

// In an outage for all a caller returns later than to an entry that has just
// started.
func TestCallersReturnAfterAnOutage(t *testing.T) {
	r := newRig(t)
	r.configure()
	r.feed.age = bound
	r.Expect(r.ask("/keyed/x", "key").RetryAfter).To(gomega.Equal(outageRetryAfter))
}

// Calls over the rate get 429; a call that was not run gives its token back.
func TestTheRateIsUsedByWhatRuns(t *testing.T) {
	r := newRig(t)
	r.configure()
	for range 20 {
		r.Expect(r.ask("/keyed/x", "key").Code).To(gomega.Equal(api.CodeNoEndpoint))
	}
	for r.limits.Admit(r.now, "garden").Admitted {
	}
	err := r.ask("/keyed/x", "key")
	r.Expect(err.Status).To(gomega.Equal(http.StatusTooManyRequests))
	r.Expect(err.RetryAfter).To(gomega.BeNumerically("<=", 500*time.Millisecond), "a token takes half a second")
	r.now += time.Second
	r.Expect(r.ask("/keyed/x", "key").Code).To(gomega.Equal(api.CodeNoEndpoint))
}

func TestRequestsAreSplitByWeight(t *testing.T) {
	r := newRig(t)
	r.configure()
	count := make(map[string]int)
	for range 1000 {
		count[r.pickDeployment(r.Config.Current().State.Routes["keyed"])]++
	}
	r.Expect(count["two"]).To(gomega.BeNumerically("~", 100, 50))
}

// What another entry admitted before this one started does not count here, as
// buckets begin empty; what one that started with it admitted does.
func TestOthersAdmissionsCountSinceThisEntryStarted(t *testing.T) {
	for uptime, counted := range map[time.Duration]bool{
		startupSkew - time.Millisecond: true,
		startupSkew:                    false,
	} {
		r := newRig(t)
		r.configure()
		full := r.limits.Admit(r.now, "garden").Level
		r.started = r.now
		r.PeerReport("other", 1, gossip.Report{Uptime: uptime, Counts: gossip.Counts{Full: true, ByCustomer: map[quota.Key]quota.Count{quota.KeyOf("garden"): 9}}})
		r.Expect(r.limits.Admit(r.now, "garden").Level < full-5).To(gomega.Equal(counted), "uptime %v", uptime)
	}
}

// An entry that starts goes on with the tokens that are left; a fleet that has
// never run begins with empty buckets.
func TestAnEntryThatStartsTakesLevelsOver(t *testing.T) {
	levels := keyed.NewLog(1)
	first := newRigOver(t, levels)
	first.Expect(first.inheritLevels(t.Context())).To(gomega.BeTrue())
	first.configure()
	left, known := first.limits.Levels(first.now)
	first.Expect(known).To(gomega.BeTrue())
	first.Expect(first.storeLevels(t.Context(), left)).To(gomega.Succeed())

	admits := func(adopt bool) int {
		r := newRigOver(t, levels)
		if adopt {
			r.Expect(r.inheritLevels(t.Context())).To(gomega.BeTrue())
		}
		r.configure()
		r.now -= time.Minute // nothing was refilled
		n := 0
		for r.limits.Admit(r.now, "garden").Admitted {
			n++
		}
		return n
	}
	first.Expect(admits(true)).To(gomega.BeNumerically(">", admits(false)))
}
