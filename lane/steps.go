package lane

import "time"

// stepModel estimates the time of an engine's steps from the times at which it
// streams tokens: base + perRun·sequences + perToken·prompt tokens. Every
// sequence of a step streams its token when the step ends, and what starts
// meanwhile joins the next step.
type stepModel struct {
	line     lineFit  // seconds of a step without prompts, over its sequences
	perToken float64  // seconds for each prompt token computed in a step
	current  stepLoad // of the step under way
	next     stepLoad // what has started since that step began
	began    time.Time
	running  int // sequences at the engine
	outliers int // observations dropped in a row
}

// stepLoad is the work of one step.
type stepLoad struct {
	runs   int     // sequences
	starts int     // of them, in their first step
	prompt float64 // tokens of their prompts
	batch  float64 // of these, of batch items
}

const (
	// minSteps are seen before the model is used.
	minSteps = 32
	// sameStep is the part of a step's time within which tokens belong to the
	// step before it.
	sameStep = 0.4
	// outlierFactor times the expected time of a step is taken for a pause.
	outlierFactor = 1.5
	// maxOutliers in a row mean that the engine has changed.
	maxOutliers = 16
	// prefillSmoothing is the weight of a new observation of perToken.
	prefillSmoothing = 0.05
)

// known reports whether the model has seen enough steps.
func (m *stepModel) known() bool { return m.line.weight >= minSteps }

// perRun returns the seconds that one more sequence adds to a step.
func (m *stepModel) perRun() float64 {
	_, slope := m.line.solve()
	return slope
}

// time returns the time of a step in seconds.
func (m *stepModel) time(runs, prompt float64) float64 {
	base, perRun := m.line.solve()
	return base + perRun*runs + m.perToken*prompt
}

// underWay returns the time of the step under way in seconds.
func (m *stepModel) underWay() float64 {
	return m.time(float64(m.current.runs), m.current.prompt)
}

// left returns the seconds that the step under way still takes.
func (m *stepModel) left(now time.Time) float64 {
	if m.running == 0 {
		return 0
	}
	return max(0, m.underWay()-now.Sub(m.began).Seconds())
}

// started takes a sequence that the engine got; batch is the part of its
// prompt that is of an item.
func (m *stepModel) started(now time.Time, prompt, batch float64) {
	if m.running == 0 {
		m.began, m.current, m.next = now, stepLoad{}, stepLoad{}
	}
	m.running++
	m.next.starts++
	m.next.prompt += prompt
	m.next.batch += batch
}

// waits reports whether a sequence that started then is in no step yet.
func (m *stepModel) waits(started time.Time) bool { return started.After(m.began) }

// dropped takes out the prompt of an item that is cut before its first step.
func (m *stepModel) dropped(prompt float64) {
	m.next.starts--
	m.next.prompt -= prompt
	m.next.batch -= prompt
}

// ended takes a sequence that left the engine. One that wasn't cut left with
// the step that ended last, and isn't in the one under way.
func (m *stepModel) ended(now time.Time, cut bool) {
	m.running--
	if !cut && m.inLastStep(now) && m.current.runs > 0 {
		m.current.runs--
	}
}

// inLastStep reports whether a token at that time is of the step that ended
// last.
func (m *stepModel) inLastStep(now time.Time) bool {
	expected := 0.0
	if m.known() {
		expected = m.underWay()
	}
	return now.Sub(m.began).Seconds() <= sameStep*expected
}

// token takes a token that the engine streamed. It returns true if it shows
// that a step has ended.
func (m *stepModel) token(now time.Time) bool {
	if m.inLastStep(now) {
		return false
	}
	m.observe(now.Sub(m.began).Seconds())
	m.began = now
	m.current, m.next = m.next, stepLoad{}
	m.current.runs = m.running
	return true
}

// observe takes the time of the step that has ended.
func (m *stepModel) observe(d float64) {
	load := m.current
	if load.runs == 0 || m.isOutlier(d) {
		return
	}
	if load.starts == 0 {
		m.line.add(float64(load.runs), d)
		return
	}
	if load.prompt > 0 && m.known() {
		per := max(0, d-m.time(float64(load.runs), 0)) / load.prompt
		m.perToken += prefillSmoothing * (per - m.perToken)
	}
}

// isOutlier reports whether the engine paused. The model starts anew if it
// seems to pause each time.
func (m *stepModel) isOutlier(d float64) bool {
	if !m.known() || d <= outlierFactor*m.underWay() {
		m.outliers = 0
		return false
	}
	m.outliers++
	if m.outliers == maxOutliers {
		m.line, m.perToken, m.outliers = lineFit{}, 0, 0
	}
	return true
}
