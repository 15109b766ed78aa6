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

// State is the answer of GET /state.
type State = order.State

type orders struct {
	state State
	taken []Order
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	api.WriteJSON(w, http.StatusOK, e.State())
}

// State returns what the engine serves and loads.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.state
}

// Orders returns the orders taken, the oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders.taken...)
}

// serveOrder takes an order and answers at once with the state; a load ends
// after the load time. An order that comes during a load replaces it.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&o); err != nil {
		http.Error(w, "not an order", http.StatusBadRequest)
		return
	}
	if !e.takeOrder(o) {
		api.WriteJSON(w, http.StatusConflict, e.State())
		return
	}
	api.WriteJSON(w, http.StatusAccepted, e.State())
}

func (e *Engine) takeOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := &e.orders.state
	if e.opts.ObeysFencing && o.Fence <= st.Fence {
		return false
	}
	e.orders.taken = append(e.orders.taken, o)
	e.stats.LoadsStarted++
	st.Fence = o.Fence
	st.Loading = &o
	e.loops.Add(1)
	go e.load(&o)
	return true
}

func (e *Engine) load(o *Order) {
	defer e.loops.Done()
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
