// Package fleet runs the whole system in one process: the stand-in platform,
// stand-in endpoints with a sidecar beside each, and entries. The demonstration and
// the experiment tool run it on TCP; randomised tests run it on a network in memory
// under fake time.
package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/lane"
	"dandelionrelay/settings"
	"dandelionrelay/standin/engine"
	standin "dandelionrelay/standin/platform"
)

// Network connects the processes. Addresses are ip:port.
type Network interface {
	// Listen opens a listener on addr. Port 0 means any free port.
	Listen(addr string) (net.Listener, error)
	// Dial connects to addr.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Options describes a fleet.
type Options struct {
	Network     Network // nil: TCP on loopback
	State       *config.State
	DataCentres int            // default 1
	Engine      engine.Options // of every endpoint that AddEngine starts
	Retention   time.Duration  // of log records; 0: unlimited
	ListLag     time.Duration  // time until a change of the instance list is visible
	Seed        uint64         // of the random faults of the log
	Logger      zerolog.Logger
	// Policy and BatchLimit configure the scheduling of the sidecars.
	Policy     lane.Policy
	BatchLimit lane.BatchLimit
	// OnViolation is called for every violation of an invariant in any process.
	OnViolation func(invariant.Violation)
	// Operators, Regions and DrainDelay are settings of the entries, DrainTimeout is one of the
	// entries and the sidecars.
	Operators    []settings.Operator
	Regions      map[string]string // region by data centre, for the homes of customers and routes
	DrainDelay   time.Duration
	DrainTimeout time.Duration // default 1 minute
}

// Fleet is a running system.
type Fleet struct {
	Log       *standin.Log
	Instances *standin.Instances

	opts   Options
	client *http.Client

	mu        sync.Mutex
	listed    []infra.Instance
	isolated  map[string]bool // data centres that can't reach the platform
	omitted   map[string]bool // data centres that are omitted from the instance list
	lastID    int
	processes sync.WaitGroup
	closers   []func()
}

// New returns a fleet without instances. It applies opts.State as the configuration,
// unless it is nil.
func New(ctx context.Context, opts Options) (*Fleet, error) {
	if opts.Network == nil {
		opts.Network = loopback{}
	}
	if opts.DataCentres == 0 {
		opts.DataCentres = 1
	}
	if opts.DrainTimeout == 0 {
		opts.DrainTimeout = time.Minute
	}
	f := &Fleet{
		Log:       standin.NewLog(opts.Retention, opts.Seed),
		Instances: standin.NewInstances(opts.ListLag),
		isolated:  make(map[string]bool),
		omitted:   make(map[string]bool),
		opts:      opts,
	}
	f.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return opts.Network.Dial(ctx, addr)
		},
		MaxIdleConnsPerHost: 256,
	}}
	if opts.State == nil {
		return f, nil
	}
	return f, f.Apply(ctx, opts.State)
}

// Apply proposes state as the next version of the configuration, on behalf of the
// operator "fleet". It fails if the change is rejected.
func (f *Fleet) Apply(ctx context.Context, state *config.State) error {
	var holder config.Holder
	follower := config.NewFollower(f.Log, &holder, nil, nil)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { follower.Run(ctx) })
	for {
		_, next, err := f.Log.Bounds(ctx, config.Stream)
		if err != nil {
			return err
		}
		if next == 1 || holder.Current().Version > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	auditEntry, err := follower.Propose(ctx, holder.Current().Version, state, "fleet")
	if err != nil {
		return err
	}
	if auditEntry.Verdict != config.Accepted {
		return fmt.Errorf("fleet: change of the configuration rejected: %+v", auditEntry)
	}
	return nil
}

// Client returns an HTTP client that connects over the fleet's network.
func (f *Fleet) Client() *http.Client { return f.client }

// SetState changes the state of an instance in the platform's list. If gone is true,
// it removes the instance from the list instead.
func (f *Fleet) SetState(id string, state infra.InstanceState, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = slices.DeleteFunc(f.listed, func(i infra.Instance) bool { return gone && i.ID == id })
	for n := range f.listed {
		if f.listed[n].ID == id {
			f.listed[n].State = state
		}
	}
	f.publish()
}

// addToList adds an instance to the platform's list.
func (f *Fleet) addToList(i infra.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = append(f.listed, i)
	f.publish()
}

// OmitFromList omits the instances of a data centre from the platform's list while on
// is true.
func (f *Fleet) OmitFromList(dataCentre string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.omitted[dataCentre] = on
	f.publish()
}

// publish sets the platform's list, without the omitted data centres. The caller
// holds the lock.
func (f *Fleet) publish() {
	shown := slices.DeleteFunc(slices.Clone(f.listed), func(i infra.Instance) bool { return f.omitted[i.DataCentre] })
	f.Instances.Set(shown)
}

// newInstance returns an instance with an unused ID and the addresses of its
// listeners. Data centres are assigned in turn.
func (f *Fleet) newInstance(role infra.Role, deployment string, httpListener, rpcListener net.Listener) infra.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	dataCentre := fmt.Sprintf("dc-%d", f.lastID%f.opts.DataCentres+1)
	if z, ok := f.opts.Network.(zonedNetwork); ok {
		z.SetZone(httpListener.Addr().String(), dataCentre)
		z.SetZone(rpcListener.Addr().String(), dataCentre)
	}
	return infra.Instance{
		ID:         fmt.Sprintf("%s-%d", role, f.lastID),
		Role:       role,
		DataCentre: dataCentre,
		State:      infra.Live,
		HTTPAddr:   httpListener.Addr().String(),
		RPCAddr:    rpcListener.Addr().String(),
		Deployment: deployment,
	}
}

// onClose registers stop to be called by Close.
func (f *Fleet) onClose(stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closers = append(f.closers, stop)
}

// Close kills all instances and waits for them to end.
func (f *Fleet) Close() {
	f.mu.Lock()
	closers := f.closers
	f.closers = nil
	f.mu.Unlock()
	for _, stop := range slices.Backward(closers) {
		stop()
	}
	f.client.CloseIdleConnections()
	f.processes.Wait()
}

// listen opens n listeners on free ports of 127.0.0.1.
func (f *Fleet) listen(n int) ([]net.Listener, error) {
	listeners := make([]net.Listener, n)
	for i := range listeners {
		var err error
		listeners[i], err = f.opts.Network.Listen("127.0.0.1:0")
		if err != nil {
			return nil, err
		}
	}
	return listeners, nil
}

// loopback is the Network of TCP on loopback addresses.
type loopback struct{}

func (loopback) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (loopback) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
