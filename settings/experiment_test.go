package settings_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"dandelionrelay/settings"
)

// TestLoadExperiment_ChecksColdFaults guards against a cold fault that has no effect.
func TestLoadExperiment_ChecksColdFaults(t *testing.T) {
	g := NewWithT(t)
	const fault = `"faults":[{"at":"1s","for":"1s","kind":"cold","target":"endpoint"}]}`
	_, err := settings.LoadExperiment(writeSettings(t, `{"cold_rate":23,"cold_time":"5s",`+fault))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = settings.LoadExperiment(writeSettings(t, "{"+fault))
	g.Expect(err).To(MatchError(ContainSubstring("/faults/0/kind")))
	_, err = settings.LoadExperiment(writeSettings(t, `{"cold_rate":23,"faults":[{"at":"1s","for":"1s","kind":"cold","target":"entry"}]}`))
	g.Expect(err).To(MatchError(And(ContainSubstring("/cold_rate"), ContainSubstring("/faults/0/target"))))
}

func TestLoadExperiment_FindingsHavePointers(t *testing.T) {
	g := NewWithT(t)
	path := writeSettings(t, `{"duration":"10s","engines":2,
		"customers":[{"name":"a","rate":1,"burst":1},{"name":"a","rate":0,"burst":0,"sends":-1},{"name":"","rate":1,"burst":1}],
		"batches":[{"customer":"b","items":0,"at":"-1s"}],
		"faults":[
			{"at":"10s","for":"1s","kind":"log_down"},
			{"at":"1s","for":"0s","kind":"kill","target":"entry","number":3},
			{"at":"1s","for":"1s","kind":"pause","target":"entry"},
			{"at":"1s","for":"1s","kind":"cut","target":"endpoint","number":3},
			{"at":"1s","for":"1s","kind":"cut"},
			{"at":"1s","for":"1s","kind":"burn","target":"entry"},
			{"at":"1s","for":"1s","kind":"list_down","target":"entry"},
			{"at":"1s","for":"1s","kind":"kill","target":"endpoint","number":2}]}`)
	_, err := settings.LoadExperiment(path)
	var pointers []string
	for _, f := range err.(settings.FindingsError) {
		g.Expect(f.File).To(Equal(path))
		pointers = append(pointers, f.Pointer)
	}
	g.Expect(pointers).To(Equal([]string{
		"/customers/1/rate", "/customers/1/burst", "/customers/1/sends", "/customers/1/name", "/customers/2/name",
		"/batches/0/customer", "/batches/0/at", "/batches/0/items",
		"/faults/0/at", "/faults/1/for", "/faults/1/number", "/faults/2/target", "/faults/3/number",
		"/faults/4/target", "/faults/5/kind", "/faults/6/target",
	}))
}
