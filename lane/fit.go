package lane

// lineFit is a least-squares fit of a line to observations whose weight decays
// with each later one.
type lineFit struct {
	sumWeight, sumX, sumY, sumXX, sumXY float64
}

const (
	// fitDecay is the factor on the weight of older observations.
	fitDecay = 0.9995
	// minVariance is the variance of x below which the slope is taken as 0.
	minVariance = 1e-6
)

func (f *lineFit) add(x, y float64) {
	f.sumWeight = f.sumWeight*fitDecay + 1
	f.sumX = f.sumX*fitDecay + x
	f.sumY = f.sumY*fitDecay + y
	f.sumXX = f.sumXX*fitDecay + x*x
	f.sumXY = f.sumXY*fitDecay + x*y
}

// solve returns the line y = base + slope·x, with slope limited so that both are
// at least 0.
func (f *lineFit) solve() (base, slope float64) {
	if f.sumWeight == 0 {
		return 0, 0
	}
	x, y := f.sumX/f.sumWeight, f.sumY/f.sumWeight
	if variance := f.sumXX/f.sumWeight - x*x; variance > minVariance {
		slope = max(0, (f.sumXY/f.sumWeight-x*y)/variance)
	}
	if x > 0 {
		slope = min(slope, y/x)
	}
	return y - slope*x, slope
}

// tailEstimate tracks a high quantile of a sequence of durations in seconds.
type tailEstimate struct{ value float64 }

const (
	// tailQuantile is the quantile that a tailEstimate tracks.
	tailQuantile = 0.99
	// maxTailStep bounds the change by one observation, as a fraction of the
	// estimate.
	maxTailStep = 0.02
)

func (e *tailEstimate) observe(v float64) {
	switch {
	case e.value == 0:
		e.value = v
	case v > e.value:
		e.value += min(v-e.value, maxTailStep*tailQuantile*e.value)
	default:
		e.value -= maxTailStep * (1 - tailQuantile) * e.value
	}
}
