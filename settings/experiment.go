package settings

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"dandelionrelay/config"
)

// Experiment is the settings of the experiment tool.
type Experiment struct {
	Duration  config.Duration      `json:"duration,omitempty"`  // of the load under each scheme; default 20s
	Engines   int                  `json:"engines,omitempty"`   // default 3
	Entries   int                  `json:"entries,omitempty"`   // default 2
	Seed      uint64               `json:"seed,omitempty"`      // of arrivals; default 1
	Schemes   []string             `json:"schemes,omitempty"`   // default all
	Customers []ExperimentCustomer `json:"customers,omitempty"` // default 4 customers far inside their rates
	Batches   []ExperimentBatch    `json:"batches,omitempty"`   // default 2 with more items than can be done
	Faults    []ExperimentFault    `json:"faults,omitempty"`
}

// ExperimentCustomer is a customer of an experiment.
type ExperimentCustomer struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`            // requests per second that it may send
	Burst int     `json:"burst"`           // requests
	Sends float64 `json:"sends,omitempty"` // requests per second that it does send; default its rate
}

// ExperimentBatch is a batch job of an experiment.
type ExperimentBatch struct {
	Customer string          `json:"customer"`
	At       config.Duration `json:"at,omitempty"` // since the start of the load
	Items    int             `json:"items"`
}

// FaultKind is what goes wrong.
type FaultKind string

// Kinds of faults.
const (
	FaultKill     FaultKind = "kill"      // the instance ends abruptly; a new one comes after its time
	FaultPause    FaultKind = "pause"     // the endpoint's engine takes no step
	FaultCut      FaultKind = "cut"       // connections to the instance are closed and refused
	FaultLogDown  FaultKind = "log_down"  // the platform's log fails every call
	FaultListDown FaultKind = "list_down" // the platform's instance list fails every call
)

// FaultTarget is what a fault hits.
type FaultTarget string

// Targets of faults.
const (
	TargetEntry    FaultTarget = "entry"
	TargetEndpoint FaultTarget = "endpoint" // with the sidecar beside it
)

// ExperimentFault is one fault of an experiment's schedule.
type ExperimentFault struct {
	At     config.Duration `json:"at"`  // since the start of the load
	For    config.Duration `json:"for"` // until it is over
	Kind   FaultKind       `json:"kind"`
	Target FaultTarget     `json:"target,omitempty"` // of kill, pause and cut
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

// Check fills in defaults and checks the settings, read from file and changed
// since, and the names of the schemes.
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
	orDefault(&e.Duration, DefaultExperimentDuration)
	orDefault(&e.Engines, DefaultEngines)
	orDefault(&e.Entries, DefaultEntries)
	orDefault(&e.Seed, DefaultSeed)
	known := make(map[string]bool)
	for i := range e.Customers {
		at := "/customers/" + strconv.Itoa(i)
		e.Customers[i].check(f, at)
		if known[e.Customers[i].Name] {
			f.add(at+"/name", "is there twice")
		}
		known[e.Customers[i].Name] = true
	}
	for i, b := range e.Batches {
		b.check(f, "/batches/"+strconv.Itoa(i), known)
	}
	for i := range e.Faults {
		e.Faults[i].check(f, "/faults/"+strconv.Itoa(i), e)
	}
}

func (c *ExperimentCustomer) check(f *findings, at string) {
	f.required(at+"/name", c.Name)
	if c.Rate <= 0 {
		f.add(at+"/rate", "must be above 0")
	}
	if c.Burst < 1 {
		f.add(at+"/burst", "must be 1 at least")
	}
	if c.Sends < 0 {
		f.add(at+"/sends", "must not be negative")
	}
	orDefault(&c.Sends, c.Rate)
}

func (b ExperimentBatch) check(f *findings, at string, customers map[string]bool) {
	if !customers[b.Customer] {
		f.add(at+"/customer", "must be one of the customers, not "+strconv.Quote(b.Customer))
	}
	f.notNegative(at+"/at", float64(b.At))
	if b.Items < 1 {
		f.add(at+"/items", "must be 1 at least")
	}
}

func (x *ExperimentFault) check(f *findings, at string, e *Experiment) {
	f.notNegative(at+"/at", float64(x.At))
	if x.At >= e.Duration {
		f.add(at+"/at", "must be before the end of the load")
	}
	if x.For <= 0 {
		f.add(at+"/for", "must be above 0")
	}
	switch x.Kind {
	case FaultLogDown, FaultListDown:
		if x.Target != "" || x.Number != 0 {
			f.add(at+"/target", "has no meaning for "+string(x.Kind))
		}
		return
	case FaultPause:
		if x.Target != TargetEndpoint {
			f.add(at+"/target", "must be endpoint: entries can't be paused in one process")
			return
		}
	case FaultKill, FaultCut:
	default:
		f.add(at+"/kind", "must be kill, pause, cut, log_down or list_down, not "+strconv.Quote(string(x.Kind)))
		return
	}
	orDefault(&x.Number, 1)
	switch x.Target {
	case TargetEntry:
		f.within(at+"/number", x.Number, e.Entries)
	case TargetEndpoint:
		f.within(at+"/number", x.Number, e.Engines)
	default:
		f.add(at+"/target", "must be entry or endpoint")
	}
}

func (f *findings) within(pointer string, value, most int) {
	if value < 1 || value > most {
		f.add(pointer, "must be from 1 to "+strconv.Itoa(most))
	}
}
