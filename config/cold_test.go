package config_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
)

// Limits of cold endpoints that could not be enforced are findings with their place, not
// limits that are silently not applied.
func TestValidate_ColdEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		deployment config.Deployment
		pointers   []string
	}{
		"none":          {config.Deployment{}, nil},
		"both":          {config.Deployment{ColdRate: 23, ColdTime: config.Duration(10 * time.Second)}, nil},
		"rate only":     {config.Deployment{ColdRate: 23}, []string{"/deployments/m/cold_rate"}},
		"time only":     {config.Deployment{ColdTime: config.Duration(time.Second)}, []string{"/deployments/m/cold_rate"}},
		"negative rate": {config.Deployment{ColdRate: -1, ColdTime: config.Duration(time.Second)}, []string{"/deployments/m/cold_rate"}},
		"tiny rate":     {config.Deployment{ColdRate: 1e-11, ColdTime: config.Duration(time.Second)}, []string{"/deployments/m/cold_rate"}},
		"lowest rate":   {config.Deployment{ColdRate: config.MinColdRate, ColdTime: config.Duration(time.Second)}, nil},
		"negative time": {config.Deployment{ColdRate: 1, ColdTime: -1}, []string{"/deployments/m/cold_time"}},
		"too long":      {config.Deployment{ColdRate: 1, ColdTime: config.MaxColdTime + 1}, []string{"/deployments/m/cold_time"}},
	} {
		g := gomega.NewWithT(t)
		d := c.deployment
		d.Kind, d.Model, d.Slots = config.KindModel, "bean", 1
		var pointers []string
		for _, f := range config.Validate(&config.State{Deployments: map[string]config.Deployment{"m": d}}) {
			pointers = append(pointers, f.Pointer)
		}
		g.Expect(pointers).To(gomega.Equal(c.pointers), name)
	}
}
