package sidecar

import (
	"context"

	"dandelionrelay/config"
	"dandelionrelay/order"
)

// runOrders sends the engine its orders, which name the model to load, until ctx
// ends or the endpoint drains.
func (s *Sidecar) runOrders(ctx context.Context) {
	runner := &order.Runner{
		Endpoint: s.settings.ID,
		Engine:   countedEngine{&order.Client{BaseURL: s.settings.EndpointURL, Transport: s.transport}, s.metrics.orders},
		Log:      s.deps.Log,
		Weights:  s.deps.Weights,
		Target:   s.orderTarget,
		Draining: s.drain.draining(),
	}
	runner.Run(ctx)
}

// orderTarget returns the model that the engine is configured to serve. It is
// empty for a plain service.
func (s *Sidecar) orderTarget() order.Target {
	d, ok := s.deployment()
	if !ok || d.Kind != config.KindModel {
		return order.Target{}
	}
	return order.Target{Model: d.Model}
}
