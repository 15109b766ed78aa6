package lane

import "time"

// stepModel estimates the duration of an engine's steps from the times at which
// the engine streams tokens, as base + perSequence·sequences +
// perToken·prompt tokens. Every sequence of a step streams its token when the
// step ends; a sequence that starts during a step joins the next one.
type stepModel struct {
	fit          lineFit   // seconds of a step without prompts, over its number of sequences
	perToken     float64   // seconds per prompt token computed in a step
	current      stepLoad  // of the step in progress
	next         stepLoad  // what has started since the current step began
	currentStart time.Time // when the step in progress began
	running      int       // sequences at the engine
	outliers     int       // consecutive observations that were discarded
}

// stepLoad is the work of one step.
type stepLoad struct {
	sequences         int
	newSequences      int     // of them, in their first step
	promptTokens      float64 // of the new sequences
	batchPromptTokens float64 // of these, of batch items
}

const (
	// minSteps is the number of steps observed before the model is used.
	minSteps = 32
	// sameStepFraction is the fraction of a step's duration, from its start,
	// within which a token still belongs to the previous step.
	sameStepFraction = 0.4
	// outlierFactor times the expected duration of a step is the limit above
	// which the step counts as a pause of the engine.
	outlierFactor = 1.5
	// maxOutliers is the number of consecutive outliers after which the model is
	// reset, since the engine itself has become slower.
	maxOutliers = 16
	// prefillSmoothing is the weight of a new observation of perToken.
	prefillSmoothing = 0.05
)

// ready reports whether the model has observed enough steps.
func (m *stepModel) ready() bool { return m.fit.sumWeight >= minSteps }

// perSequence returns the seconds that each further sequence adds to a step.
func (m *stepModel) perSequence() float64 {
	_, slope := m.fit.solve()
	return slope
}

// duration returns the duration in seconds of a step with that load.
func (m *stepModel) duration(sequences, promptTokens float64) float64 {
	base, perSequence := m.fit.solve()
	return base + perSequence*sequences + m.perToken*promptTokens
}

// currentDuration returns the duration in seconds of the step in progress.
func (m *stepModel) currentDuration() float64 {
	return m.duration(float64(m.current.sequences), m.current.promptTokens)
}

// currentRemaining returns the seconds until the step in progress ends.
func (m *stepModel) currentRemaining(now time.Time) float64 {
	if m.running == 0 {
		return 0
	}
	return max(0, m.currentDuration()-now.Sub(m.currentStart).Seconds())
}

// sequenceStarted records a sequence that was sent to the engine, with the number
// of its prompt tokens and how many of these belong to a batch item.
func (m *stepModel) sequenceStarted(now time.Time, promptTokens, batchPromptTokens float64) {
	if m.running == 0 {
		m.currentStart, m.current, m.next = now, stepLoad{}, stepLoad{}
	}
	m.running++
	m.next.newSequences++
	m.next.promptTokens += promptTokens
	m.next.batchPromptTokens += batchPromptTokens
}

// startsInNextStep reports whether a sequence that was sent to the engine at the
// given time joins the next step and has not been part of any step yet.
func (m *stepModel) startsInNextStep(started time.Time) bool { return started.After(m.currentStart) }

// removeFromNextStep removes the prompt of an item that is preempted before its
// first step.
func (m *stepModel) removeFromNextStep(promptTokens float64) {
	m.next.newSequences--
	m.next.promptTokens -= promptTokens
	m.next.batchPromptTokens -= promptTokens
}

// sequenceEnded records that a sequence left the engine. One that was not
// preempted ended with the previous step and is not part of the one in progress.
func (m *stepModel) sequenceEnded(now time.Time, preempted bool) {
	m.running--
	if !preempted && m.inPreviousStep(now) && m.current.sequences > 0 {
		m.current.sequences--
	}
}

// inPreviousStep reports whether a token received at now belongs to the previous
// step.
func (m *stepModel) inPreviousStep(now time.Time) bool {
	expected := 0.0
	if m.ready() {
		expected = m.currentDuration()
	}
	return now.Sub(m.currentStart).Seconds() <= sameStepFraction*expected
}

// recordToken records a token that the engine streamed. It returns true if the
// token shows that a step has ended.
func (m *stepModel) recordToken(now time.Time) bool {
	if m.inPreviousStep(now) {
		return false
	}
	m.observe(now.Sub(m.currentStart).Seconds())
	m.currentStart = now
	m.current, m.next = m.next, stepLoad{}
	m.current.sequences = m.running
	return true
}

// observe records the duration in seconds of the step that has ended.
func (m *stepModel) observe(d float64) {
	load := m.current
	if load.sequences == 0 || m.isOutlier(d) {
		return
	}
	if load.newSequences == 0 {
		m.fit.add(float64(load.sequences), d)
		return
	}
	if load.promptTokens > 0 && m.ready() {
		perToken := max(0, d-m.duration(float64(load.sequences), 0)) / load.promptTokens
		m.perToken += prefillSmoothing * (perToken - m.perToken)
	}
}

// isOutlier reports whether the engine paused during a step of d seconds. It
// resets the model after maxOutliers consecutive outliers.
func (m *stepModel) isOutlier(d float64) bool {
	if !m.ready() || d <= outlierFactor*m.currentDuration() {
		m.outliers = 0
		return false
	}
	m.outliers++
	if m.outliers == maxOutliers {
		m.fit, m.perToken, m.outliers = lineFit{}, 0, 0
	}
	return true
}
