package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"dandelionrelay/config"
)

// Experiment holds the settings of the experiment tool.
type Experiment struct {
	Duration  config.Duration      `json:"duration,omitempty"`  // of the load on each scheme; default 20s
	Engines   int                  `json:"engines,omitempty"`   // default 3
	Entries   int                  `json:"entries,omitempty"`   // default 2
	Seed      uint64               `json:"seed,omitempty"`      // of arrivals; default 1
	Schemes   []string             `json:"schemes,omitempty"`   // default all
	Customers []ExperimentCustomer `json:"customers,omitempty"` // default 4 customers well below their rate limits
	Batches   []ExperimentBatch    `json:"batches,omitempty"`   // default 2 with more items than can be completed
	Faults    []ExperimentFault    `json:"faults,omitempty"`

	// ColdRate and ColdTime are those of the deployment and its engines; 0: they are never
	// cold.
	ColdRate float64         `json:"cold_rate,omitempty"`
	ColdTime config.Duration `json:"cold_time,omitempty"`
}

// ExperimentCustomer is a customer of an experiment.
type ExperimentCustomer struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`            // rate limit, in requests per second
	Burst int     `json:"burst"`           // requests
	Sends float64 `json:"sends,omitempty"` // offered load, in requests per second; default the rate limit
}

// ExperimentBatch is a batch job of an experiment.
type ExperimentBatch struct {
	Customer string          `json:"customer"`
	At       config.Duration `json:"at,omitempty"` // since the start of the load
	Items    int             `json:"items"`
}

// FaultKind is the kind of an injected fault.
type FaultKind string

// Kinds of faults.
const (
	FaultKill     FaultKind = "kill"      // the instance ends abruptly; a new one starts when the fault is over
	FaultPause    FaultKind = "pause"     // the endpoint's engine makes no progress
	FaultCold     FaultKind = "cold"      // the endpoint's engine ends, and starts again cold when the fault is over
	FaultCut      FaultKind = "cut"       // connections to the instance are closed and refused
	FaultLogDown  FaultKind = "log_down"  // the platform's log fails every call
	FaultListDown FaultKind = "list_down" // the platform's instance list fails every call
)

// FaultTarget is the kind of instance that a fault affects.
type FaultTarget string

// Targets of faults.
const (
	TargetEntry    FaultTarget = "entry"
	TargetEndpoint FaultTarget = "endpoint" // with its sidecar
)

// ExperimentFault is one fault of an experiment's schedule.
type ExperimentFault struct {
	At     config.Duration `json:"at"`  // since the start of the load
	For    config.Duration `json:"for"` // duration
	Kind   FaultKind       `json:"kind"`
	Target FaultTarget     `json:"target,omitempty"` // of kill, pause, cold and cut
	Number int             `json:"number,omitempty"` // of the target, from 1; default 1
}

// Defaults of an experiment.
const (
	DefaultExperimentDuration = config.Duration(20 * time.Second)
	DefaultEngines            = 3
	DefaultEntries            = 2
	DefaultSeed               = 1
)

// LoadExperiment reads the settings of an experiment.
func LoadExperiment(path string) (*Experiment, error) { return load[Experiment](path) }

// Check sets defaults and validates the settings, which may have been changed since
// they were read from file. The names in Schemes must be among schemes. The error
// is a FindingsError.
func (e *Experiment) Check(file string, schemes []string) error {
	f := &findings{file: file}
	e.check(f)
	for i, name := range e.Schemes {
		if !slices.Contains(schemes, name) {
			f.add("/schemes/"+strconv.Itoa(i), "must be one of "+strings.Join(schemes, "; ")+", not "+strconv.Quote(name))
		}
	}
	if len(f.list) > 0 {
		return FindingsError(f.list)
	}
	return nil
}

func (e *Experiment) check(f *findings) {
	f.notNegative("/duration", float64(e.Duration))
	f.notNegative("/engines", float64(e.Engines))
	f.notNegative("/entries", float64(e.Entries))
	setDefault(&e.Duration, DefaultExperimentDuration)
	setDefault(&e.Engines, DefaultEngines)
	setDefault(&e.Entries, DefaultEntries)
	setDefault(&e.Seed, DefaultSeed)
	known := make(map[string]bool)
	for i := range e.Customers {
		at := "/customers/" + strconv.Itoa(i)
		e.Customers[i].check(f, at)
		if known[e.Customers[i].Name] {
			f.add(at+"/name", "must be unique, but "+strconv.Quote(e.Customers[i].Name)+" is the name of an earlier customer")
		}
		known[e.Customers[i].Name] = true
	}
	for i, b := range e.Batches {
		b.check(f, "/batches/"+strconv.Itoa(i), known)
	}
	f.notNegative("/cold_rate", e.ColdRate)
	f.notNegative("/cold_time", float64(e.ColdTime))
	if (e.ColdRate == 0) != (e.ColdTime == 0) {
		f.add("/cold_rate", "cold_rate and cold_time need each other")
	}
	for i := range e.Faults {
		e.Faults[i].check(f, "/faults/"+strconv.Itoa(i), e)
	}
}

func (c *ExperimentCustomer) check(f *findings, at string) {
	f.required(at+"/name", c.Name)
	if c.Rate <= 0 {
		f.add(at+"/rate", fmt.Sprintf("must be above 0, not %g", c.Rate))
	}
	if c.Burst < 1 {
		f.add(at+"/burst", fmt.Sprintf("must be at least 1, not %d", c.Burst))
	}
	if c.Sends < 0 {
		f.add(at+"/sends", fmt.Sprintf("must not be negative, but is %g", c.Sends))
	}
	setDefault(&c.Sends, c.Rate)
}

func (b ExperimentBatch) check(f *findings, at string, customers map[string]bool) {
	if !customers[b.Customer] {
		f.add(at+"/customer", "must be one of the customers, not "+strconv.Quote(b.Customer))
	}
	f.notNegative(at+"/at", float64(b.At))
	if b.Items < 1 {
		f.add(at+"/items", fmt.Sprintf("must be at least 1, not %d", b.Items))
	}
}

func (x *ExperimentFault) check(f *findings, at string, e *Experiment) {
	f.notNegative(at+"/at", float64(x.At))
	if x.At >= e.Duration {
		f.add(at+"/at", fmt.Sprintf("must be before the end of the load at %s, not %s", time.Duration(e.Duration), time.Duration(x.At)))
	}
	if x.For <= 0 {
		f.add(at+"/for", fmt.Sprintf("must be above 0, not %s", time.Duration(x.For)))
	}
	switch x.Kind {
	case FaultLogDown, FaultListDown:
		if x.Target != "" || x.Number != 0 {
			f.add(at+"/target", "target and number must not be set for faults of kind "+string(x.Kind))
		}
		return
	case FaultPause:
		if x.Target != TargetEndpoint {
			f.add(at+"/target", "must be endpoint, not "+strconv.Quote(string(x.Target))+": an entry can't be paused alone, as all instances run in one process")
			return
		}
	case FaultCold:
		if x.Target != TargetEndpoint {
			f.add(at+"/target", "must be endpoint, not "+strconv.Quote(string(x.Target)))
			return
		}
		if e.ColdRate == 0 {
			f.add(at+"/kind", "needs the cold_rate and the cold_time of the experiment")
		}
	case FaultKill, FaultCut:
	default:
		f.add(at+"/kind", "must be kill, pause, cold, cut, log_down or list_down, not "+strconv.Quote(string(x.Kind)))
		return
	}
	setDefault(&x.Number, 1)
	switch x.Target {
	case TargetEntry:
		f.inRange(at+"/number", x.Number, e.Entries)
	case TargetEndpoint:
		f.inRange(at+"/number", x.Number, e.Engines)
	default:
		f.add(at+"/target", "must be entry or endpoint, not "+strconv.Quote(string(x.Target)))
	}
}

func (f *findings) inRange(pointer string, value, maximum int) {
	if value < 1 || value > maximum {
		f.add(pointer, fmt.Sprintf("must be from 1 to %d, not %d", maximum, value))
	}
}
