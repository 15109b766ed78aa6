package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/order"
)

// Order is the body of POST /orders.
type Order = order.Order

// State is the response to GET /state.
type State = order.State

type orders struct {
	state    State
	accepted []Order // the oldest first
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	api.WriteJSON(w, http.StatusOK, e.State())
}

// State returns the model that the engine serves and the load in progress, if any.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.state
}

// Orders returns the orders accepted so far, the oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders.accepted...)
}

// serveOrder accepts an order and responds at once with the state. The load completes
// after Options.LoadTime. An order that arrives during a load supersedes it.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&o); err != nil {
		http.Error(w, "not an order", http.StatusBadRequest)
		return
	}
	if !e.acceptOrder(o) {
		api.WriteJSON(w, http.StatusConflict, e.State())
		return
	}
	api.WriteJSON(w, http.StatusAccepted, e.State())
}

// acceptOrder starts the load of o. It returns false if the fencing token of o is stale
// and Options.ObeysFencing is set.
func (e *Engine) acceptOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := &e.orders.state
	if e.opts.ObeysFencing && o.Fence <= st.Fence {
		return false
	}
	e.orders.accepted = append(e.orders.accepted, o)
	e.stats.LoadsStarted++
	st.Fence = o.Fence
	st.Loading = &o
	e.goroutines.Add(1)
	go e.load(&o)
	return true
}

// load completes the load of o after Options.LoadTime, unless another order has
// superseded it.
func (e *Engine) load(o *Order) {
	defer e.goroutines.Done()
	t := time.NewTimer(e.opts.LoadTime)
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.closed:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.state.Loading != o {
		return
	}
	e.orders.state.Loading = nil
	e.orders.state.Model = o.Model
	e.orders.state.Version = o.Version
}
