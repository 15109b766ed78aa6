package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrelay/lru"
)

// Parameters of the attribution of crashes to prompt parts.
const (
	// MinSoundEvents is the number of events of a response that show that the parts of
	// its prompt do not crash endpoints: a part that does so does it as the answer begins.
	MinSoundEvents = 3
	// partThreshold is the sum of weights at which a part is quarantined that was never
	// shown to be sound, and soundPartThreshold that at which another one is.
	partThreshold      = 6
	soundPartThreshold = 2 * partThreshold
	// clearThreshold is the sum of weights from which the other entries are told that a
	// part is sound.
	clearThreshold = partThreshold / 2
	// weightBegun is the weight of a crash with a request in flight whose response header
	// had come, but no event, as the requests that crash endpoints have it; weightOther is
	// that of another crash.
	weightBegun, weightOther = 2, 1
	// maxCrashesPerRequest is the number of crashes that count with the same request in
	// flight, so that retries of one request do not quarantine the parts of its prompt.
	maxCrashesPerRequest = 2
	// momentDuration is the time within which crashes count as one: power or a network
	// that fails stops many endpoints at once, and no request does.
	momentDuration = 50 * time.Millisecond
	// soundDuration is how long a part is not accused after it was shown to be sound.
	soundDuration = 2 * time.Second
	// soundPartMemory is how long an accusation counts against a part that was shown to
	// be sound before. While it is quarantined no request can show that it still is.
	soundPartMemory = time.Minute
	// refreshInterval is the maximum age of the quarantined parts, as accusations expire.
	refreshInterval = 5 * time.Second
	// maxAccusations is the number of events with parts that are held.
	maxAccusations = 1024
	// soundPartsBytes bounds the memory for the times at which parts were shown to be
	// sound; soundPartBytes is what one of them takes.
	soundPartsBytes = 512 << 10
	soundPartBytes  = 128
)

// partTable attributes crashes to parts of prompts. A part is accused by each event of a
// crash with a request in flight that contains it and whose response had fewer than
// MinSoundEvents events. It is quarantined once the crashes that accuse it, and that no
// other quarantined part explains, reach a threshold: requests that crash endpoints share
// parts with sound ones. See compareRecords for which part explains crashes first. A
// response with MinSoundEvents events clears the parts of its prompt. It is safe for
// concurrent use.
type partTable struct {
	sound *lru.Cache[string, *atomic.Int64] // when parts were last shown to be sound, in Unix nanoseconds

	mu          sync.Mutex
	accusations map[accusationKey]Event
	newest      map[string]time.Time // time of the newest accusation of each part
	stale       bool                 // accusations have changed since quarantined was computed
	refreshedAt time.Time
	// quarantined holds the quarantined parts. accused holds those whose accusations reach
	// clearThreshold for an entry that does not know that they are sound.
	quarantined, accused map[string]bool
}

// accusationKey identifies the event of one crash with one request in flight.
type accusationKey struct {
	digest  Digest
	attempt string
}

func newPartTable() *partTable {
	return &partTable{
		sound:       lru.New[string, *atomic.Int64](soundPartsBytes),
		accusations: make(map[accusationKey]Event),
		newest:      make(map[string]time.Time),
	}
}

// accusedParts returns the parts of the prompt that a crash accuses.
func (p *partTable) accusedParts(c Crash, now time.Time) []string {
	if c.Events >= MinSoundEvents {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(c.PromptParts), func(part string) bool {
		return now.Sub(p.lastSound(part)) < soundDuration
	})
}

// lastSound returns when a part was last shown to be sound; the zero time if it never was.
func (p *partTable) lastSound(part string) time.Time {
	if at, ok := p.sound.Get(part); ok {
		return time.Unix(0, at.Load())
	}
	return time.Time{}
}

func (p *partTable) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.accusations) == 0
}

// merge adds an event with parts, and reports whether it changed the table.
func (p *partTable) merge(e Event, now time.Time) bool {
	if now.Sub(e.At) >= SuspectDuration {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := accusationKey{e.Digest, e.Attempt}
	old, held := p.accusations[key]
	if !held {
		p.evict()
		p.accusations[key] = e
		p.noteNewest(e)
		p.stale = true
		return true
	}
	sound := union(old.Sound, e.Sound)
	if len(sound) == len(old.Sound) {
		return false
	}
	old.Sound = sound
	p.accusations[key] = old
	p.stale = true
	return true
}

// noteNewest updates the times of the newest accusations by e. The caller holds the lock.
func (p *partTable) noteNewest(e Event) {
	for _, part := range e.Parts {
		if e.At.After(p.newest[part]) {
			p.newest[part] = e.At
		}
	}
}

// union returns the sorted elements of a and b, each once.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// evict drops the oldest accusation if the table is full. The caller holds the lock.
func (p *partTable) evict() {
	if len(p.accusations) < maxAccusations {
		return
	}
	var oldest accusationKey
	var at time.Time
	for key, e := range p.accusations {
		if at.IsZero() || e.At.Before(at) {
			oldest, at = key, e.At
		}
	}
	delete(p.accusations, oldest)
}

// expire drops accusations older than SuspectDuration.
func (p *partTable) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.newest)
	for key, e := range p.accusations {
		if now.Sub(e.At) >= SuspectDuration {
			delete(p.accusations, key)
			p.stale = true
			continue
		}
		p.noteNewest(e)
	}
}

// events returns all accusations.
func (p *partTable) events() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Event
	for _, e := range p.accusations {
		out = append(out, e)
	}
	return out
}

// anyQuarantined reports whether one of the parts is quarantined.
func (p *partTable) anyQuarantined(parts []string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	return slices.ContainsFunc(parts, func(part string) bool { return p.quarantined[part] })
}

// allQuarantined returns the quarantined parts in order.
func (p *partTable) allQuarantined(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	var out []string
	for part := range p.quarantined {
		out = append(out, part)
	}
	slices.Sort(out)
	return out
}

// recordSound records that parts were shown to be sound. It returns the events to
// replicate: the accusations of those parts that other entries may quarantine, cleared of
// them.
func (p *partTable) recordSound(parts []string, now time.Time) []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		// A part that was shown to be sound since its newest accusation stays so.
		p.stale = p.stale || p.newest[part].After(p.lastSound(part))
		p.storeSound(part, now)
	}
	p.refresh(now)
	var cleared []Event
	for _, part := range parts {
		if p.accused[part] {
			cleared = append(cleared, p.clearPart(part)...)
		}
	}
	return cleared
}

// storeSound stores the time at which a part was shown to be sound.
func (p *partTable) storeSound(part string, now time.Time) {
	if at, ok := p.sound.Get(part); ok {
		at.Store(now.UnixNano())
		return
	}
	at := new(atomic.Int64)
	at.Store(now.UnixNano())
	p.sound.Add(part, at, soundPartBytes)
}

// clearPart clears all accusations of a part and returns them. The caller holds the lock.
func (p *partTable) clearPart(part string) []Event {
	var cleared []Event
	for key, e := range p.accusations {
		if !slices.Contains(e.Parts, part) || slices.Contains(e.Sound, part) {
			continue
		}
		e.Sound = union(e.Sound, []string{part})
		p.accusations[key] = e
		cleared = append(cleared, e)
	}
	p.stale = true
	return cleared
}

// refresh computes the quarantined and the accused parts if accusations have changed, and
// every refreshInterval. The caller holds the lock.
func (p *partTable) refresh(now time.Time) {
	if len(p.accusations) == 0 {
		p.quarantined, p.accused = nil, nil
		return
	}
	if !p.stale && now.Sub(p.refreshedAt) < refreshInterval {
		return
	}
	p.stale = false
	p.refreshedAt = now
	events := make([]Event, 0, len(p.accusations))
	for _, e := range p.accusations {
		events = append(events, e)
	}
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Attempt, b.Attempt))
	})
	p.accused = make(map[string]bool)
	for _, r := range collectRecords(events, func(string) time.Time { return time.Time{} }, now) {
		p.accused[r.part] = weigh(r.crashes) >= clearThreshold
	}
	p.quarantined = quarantinedParts(collectRecords(events, p.lastSound, now))
}
