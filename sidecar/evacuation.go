package sidecar

import (
	"dandelionrelay/api"
	"dandelionrelay/locality"
)

// evacuated reports whether the endpoint's data centre is evacuated. Nothing more is sent
// to the endpoint then; what runs there continues, except for batch items that can be
// moved. Entries that know the evacuation send nothing; this check binds the others.
func (s *Sidecar) evacuated() bool {
	return s.deps.Config.Current().State.Evacuations[s.settings.DataCentre]
}

// evacuatedError returns the error for a request that was not sent to the endpoint. Its
// code has entries treat the endpoint as failed and use others.
func evacuatedError() *api.Error {
	return unavailable(api.CodeEvacuated, "the data centre of the endpoint is evacuated").WithRetryAfter(locality.RetryAfter)
}

// moveIfEvacuated returns the idempotent items in flight to their owners, with the
// positions to resume from, if the data centre is evacuated. The others end here, as it
// would not be known whether they ran.
func (b *batchRunner) moveIfEvacuated() {
	evacuated := b.evacuated()
	if evacuated != b.moving {
		b.moving = evacuated
		b.deps.Logger.Info().Str("data_centre", b.settings.DataCentre).Bool("evacuated", evacuated).Int("items", len(b.unreportedRefs())).
			Msg("evacuation of the data centre of this endpoint changed")
	}
	if !evacuated {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, run := range b.items {
		if run.Idempotent {
			run.stop()
		}
	}
}
