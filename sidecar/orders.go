package sidecar

import (
	"context"

	"dandelionrelay/config"
	"dandelionrelay/order"
)

// runOrders gives the engine its orders until ctx ends or the endpoint leaves.
func (s *Sidecar) runOrders(ctx context.Context) {
	runner := &order.Runner{
		Endpoint: s.settings.ID,
		Engine:   countedEngine{&order.Client{BaseURL: s.settings.Endpoint, Transport: s.transport}, s.metrics.orders},
		Log:      s.deps.Log,
		Weights:  s.deps.Weights,
		Target:   s.orderTarget,
		Leaving:  s.drain.leaving(),
	}
	runner.Run(ctx)
}

// orderTarget returns what the configuration wants the engine to serve; empty
// for a plain service.
func (s *Sidecar) orderTarget() order.Target {
	d, ok := s.deployment()
	if !ok || d.Kind != config.KindModel {
		return order.Target{}
	}
	return order.Target{Model: d.Model}
}
