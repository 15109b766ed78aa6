package settings

import "math"

// DefaultColdExcess is the default of Gateway.ColdExcess: exactly the cold rate is allowed.
const DefaultColdExcess = 1

// coldExcess validates a factor of a cold rate and sets the default.
func (f *findings) coldExcess(pointer string, value *float64) {
	setDefault(value, DefaultColdExcess)
	if !(*value >= 1) || math.IsInf(*value, 0) {
		f.add(pointer, "must be 1 or more: endpoints tolerate their cold rate")
	}
}

// finiteNotNegative validates a number of requests.
func (f *findings) finiteNotNegative(pointer string, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		f.add(pointer, "must be a number that is not negative")
	}
}
