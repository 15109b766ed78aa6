package sidecar

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/config"
	"dandelionrelay/daemon"
	"dandelionrelay/ops"
	"dandelionrelay/platform/client"
	"dandelionrelay/settings"
)

// Serve runs a sidecar by its settings until ctx ends, then drains it.
func Serve(ctx context.Context, s *settings.Sidecar, logger zerolog.Logger) error {
	security, err := daemon.Security(s.TLS)
	if err != nil {
		return err
	}
	reg := ops.NewRegistry()
	checks := ops.Invariants(reg, logger)
	var holder config.Holder
	var ready ops.Ready
	follower := config.NewFollower(client.New(s.PlatformURL, nil), &holder, checks, func(*config.Snapshot) { ready.Set(true) })
	sc, err := New(
		Settings{ID: s.ID, Deployment: s.Deployment, Endpoint: s.EndpointURL},
		Deps{Config: &holder, Invariants: checks, Logger: logger},
	)
	if err != nil {
		return err
	}
	defer sc.Close()
	listeners, err := daemon.ListenAll(s.HTTPAddr, s.OpsAddr)
	if err != nil {
		return err
	}
	entries := daemon.Serve(security.Listener(listeners[0]), sc)
	operators := daemon.Serve(listeners[1], ops.Handler(reg, &ready))
	defer operators.Close()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go follower.Run(background)
	logger.Info().Str("http", s.HTTPAddr).Str("ops", s.OpsAddr).Msg("sidecar started")
	failed := daemon.Wait(ctx, entries, operators)
	shutdown(sc, entries, time.Duration(s.DrainTimeout), logger)
	return failed
}

// shutdown refuses new work, lets streams finish and stops listening.
func shutdown(sc *Sidecar, entries *daemon.Server, timeout time.Duration, logger zerolog.Logger) {
	logger.Info().Msg("sidecar is leaving")
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := sc.Drain(ctx); err != nil {
		logger.Warn().Err(err).Msg("drain timeout: requests were cut")
	}
	entries.Shutdown(timeout)
}
