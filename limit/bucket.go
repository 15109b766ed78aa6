package limit

import (
	"context"
	"time"
)

// Bucket is a token bucket of the fleet that is no customer's: it bounds what
// all entries together do to something they share.
type Bucket struct {
	service *Service
	id      string
	limits  Limits
}

// Bucket returns the bucket id of Options.Buckets.
func (s *Service) Bucket(id string) *Bucket {
	return &Bucket{service: s, id: id, limits: s.Buckets[id]}
}

// Take takes a token. If there is none, wait is the time until one will exist;
// reached is false if the bucket's holders could not be asked.
func (b *Bucket) Take(ctx context.Context) (ok bool, wait time.Duration, reached bool) {
	ok, wait, unavailable := b.service.Admit(ctx, b.id, b.limits)
	return ok, wait, !unavailable
}
