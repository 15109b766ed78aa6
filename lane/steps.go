package lane

import "time"

// stepModel estimates the time of an engine's steps, base + perRun·sequences +
// perToken·prompt tokens, from the times at which the engine streams tokens.
// Every sequence of a step streams its token when the step ends.
type stepModel struct {
	line     lineFit
	perToken float64 // seconds for each prompt token computed in a step
	last     time.Time
	current  stepLoad // of the step under way, which began at last
	next     stepLoad // what has started since and joins the next one
	running  int      // sequences at the engine
}

// stepLoad is the work of one step.
type stepLoad struct {
	runs   int     // sequences
	starts int     // of them, in their first step
	prompt float64 // tokens of their prompts
	batch  float64 // of these, of batch items
}

const (
	// sameStep is the part of a step's time within which tokens belong to the
	// step that ended last.
	sameStep = 0.4
	// pauseFactor times the expected time of a step is a pause of the engine.
	pauseFactor = 1.5
	// prefillSmoothing is the weight of a new observation of perToken.
	prefillSmoothing = 0.05
	// minObservations of steps come before the model is used.
	minObservations = 32
)

// known reports whether the model has seen enough steps.
func (m *stepModel) known() bool { return m.line.weight >= minObservations }

// time returns the time of a step in seconds.
func (m *stepModel) time(runs, prompt float64) float64 {
	base, perRun := m.line.solve()
	return base + perRun*runs + m.perToken*prompt
}

// residual returns how long the step under way still takes, in seconds.
func (m *stepModel) residual(now time.Time) float64 {
	if m.running == 0 {
		return 0
	}
	return max(0, m.time(float64(m.current.runs), m.current.prompt)-now.Sub(m.last).Seconds())
}

// started takes a sequence that the engine got.
func (m *stepModel) started(now time.Time, prompt, batch float64) {
	if m.running == 0 {
		m.last, m.current, m.next = now, stepLoad{}, stepLoad{}
	}
	m.running++
	m.next.starts++
	m.next.prompt += prompt
	m.next.batch += batch
}

// ended takes a sequence that left the engine, with its last step or cut.
func (m *stepModel) ended(now time.Time, cut bool) {
	m.running--
	if !cut && m.inSameStep(now) && m.current.runs > 0 {
		m.current.runs--
	}
}

// pending reports whether a sequence that started then is in no step yet.
func (m *stepModel) pending(started time.Time) bool { return started.After(m.last) }

// dropped takes the prompt of a sequence that was cut before its first step.
func (m *stepModel) dropped(prompt float64) {
	m.next.starts--
	m.next.prompt -= prompt
	m.next.batch -= prompt
}

func (m *stepModel) inSameStep(now time.Time) bool {
	expected := 0.0
	if m.known() {
		expected = m.time(float64(m.current.runs), m.current.prompt)
	}
	return now.Sub(m.last).Seconds() <= sameStep*expected
}

// token takes a token that the engine streamed. It returns true if a step has
// ended.
func (m *stepModel) token(now time.Time) bool {
	if m.inSameStep(now) {
		return false
	}
	m.observe(now.Sub(m.last).Seconds())
	m.last = now
	m.current, m.next = m.next, stepLoad{}
	m.current.runs = m.running
	return true
}

// observe takes the time of the step that has ended.
func (m *stepModel) observe(d float64) {
	l := m.current
	if l.runs == 0 || m.known() && d > pauseFactor*m.time(float64(l.runs), l.prompt) {
		return
	}
	if l.starts == 0 {
		m.line.add(float64(l.runs), d)
		return
	}
	if l.prompt > 0 && m.known() {
		per := max(0, d-m.time(float64(l.runs), 0)) / l.prompt
		m.perToken += prefillSmoothing * (per - m.perToken)
	}
}

// lineFit is a least-squares line through observations that lose weight with
// age.
type lineFit struct {
	weight, x, y, xx, xy float64
}

const (
	// fitDecay is the factor on the weight of older observations.
	fitDecay = 0.9995
	// minSpread is the variance of x below which the slope is taken as 0.
	minSpread = 1e-6
)

func (f *lineFit) add(x, y float64) {
	f.weight = f.weight*fitDecay + 1
	f.x = f.x*fitDecay + x
	f.y = f.y*fitDecay + y
	f.xx = f.xx*fitDecay + x*x
	f.xy = f.xy*fitDecay + x*y
}

// solve returns the line y = base + slope·x with slope and base of 0 or more.
func (f *lineFit) solve() (base, slope float64) {
	if f.weight == 0 {
		return 0, 0
	}
	x, y := f.x/f.weight, f.y/f.weight
	if spread := f.xx/f.weight - x*x; spread > minSpread {
		slope = max(0, (f.xy/f.weight-x*y)/spread)
	}
	if x > 0 {
		slope = min(slope, y/x)
	}
	return y - slope*x, slope
}
