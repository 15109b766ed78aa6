package limit

import (
	"context"
	"time"
)

// Bucket is a fleet-wide token bucket that belongs to no customer: it limits
// what all entries together do to a shared resource.
type Bucket struct {
	service *Service
	id      string
	limits  Limits
}

// Bucket returns the bucket of Options.Buckets with the given ID.
func (s *Service) Bucket(id string) *Bucket {
	return &Bucket{service: s, id: id, limits: s.Buckets[id]}
}

// Take takes one token. If there is none, wait is the time until one will
// exist; reached is false if no holder replied for a share of the bucket. If ctx
// ends during the call, ok may be false with a wait of 0.
func (b *Bucket) Take(ctx context.Context) (ok bool, wait time.Duration, reached bool) {
	ok, wait, unavailable := b.service.Admit(ctx, b.id, b.limits)
	return ok, wait, !unavailable
}
