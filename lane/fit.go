package lane

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

// solve returns the line y = base + slope·x, with both of 0 or more.
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

// tailEstimate follows a high quantile of a sequence of times in seconds.
type tailEstimate struct{ value float64 }

const (
	// tailQuantile is the quantile that a tailEstimate follows.
	tailQuantile = 0.99
	// tailStep is the part of the estimate by which one observation moves it
	// at most.
	tailStep = 0.02
)

func (e *tailEstimate) observe(v float64) {
	switch {
	case e.value == 0:
		e.value = v
	case v > e.value:
		e.value += min(v-e.value, tailStep*tailQuantile*e.value)
	default:
		e.value -= tailStep * (1 - tailQuantile) * e.value
	}
}
