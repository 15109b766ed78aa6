package quota

import "time"

// maxWait is the longest wait that a refused request is told, one window of the usual
// tolerance. Later tokens are not promised: the load will have changed.
const maxWait = 5 * time.Second

// QueueRefused returns the wait of a request that Admit has refused until a token is due
// for it. Requests get the tokens that this entry expects in the order of the calls, those
// after the first at a random time between their token and the next, so that callers do not
// return together. Once the tokens within maxWait are given away, waits are spread over its
// second half.
func (t *Table) QueueRefused(now time.Duration, customer string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := KeyOf(customer)
	l, share := t.limits[key], t.share.at(now)
	if l.Rate <= 0 || share <= 0 {
		return noShareRetryAfter
	}
	b := t.bucket(key)
	t.refill(now, key, b, l)
	next := now + waitFor(1-b.level, l.Rate*share)
	interval := waitFor(1, l.Rate*share*t.part(now, b))
	b.queued++
	spread := unit(mix(t.seed ^ uint64(key) ^ uint64(b.queued)<<32))
	if b.nextDue <= next {
		b.nextDue = next + interval
		return next - now
	}
	due := b.nextDue
	if due+interval > now+maxWait {
		return maxWait - time.Duration(spread*float64(maxWait/2))
	}
	b.nextDue = due + interval
	return due - now + time.Duration(spread*float64(interval))
}

// waitFor returns the time until a rate has brought the given number of tokens, at most
// maxWait.
func waitFor(tokens, rate float64) time.Duration {
	return time.Duration(min(maxWait.Seconds(), max(0, tokens/rate)) * float64(time.Second))
}
