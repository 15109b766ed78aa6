package engine_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/standin/engine"
)

// Guards against a stand-in that tolerates any rate while it is cold, so that tests of the
// limit pass without one, or that crashes at the rate that it says it tolerates.
func TestEngine_ColdEngineCrashesAboveItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		crashed := 0
		e := engine.New(engine.Options{Model: "m", ColdRate: 10, ColdTime: 5 * time.Second, OnCrash: func() { crashed++ }})
		c := serve(t, e)
		send := func(n int) {
			var wg sync.WaitGroup
			for range n {
				wg.Go(func() {
					if resp, err := post(t, c, chat("hello", 2)); err == nil {
						resp.Body.Close()
					}
				})
			}
			wg.Wait()
		}
		coldLeft := func() int {
			resp, err := c.Get("http://" + addr + "/health")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer resp.Body.Close()
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
			ms, err := strconv.Atoi(resp.Header.Get(api.HeaderCold))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return ms
		}
		g.Expect(coldLeft()).To(gomega.Equal(5000))
		send(14)
		g.Expect(crashed).To(gomega.BeZero(), "15 requests are 1.5 times the rate")
		g.Expect(e.Stats().ColdPeak).To(gomega.Equal(15))
		send(1)
		g.Expect(crashed).To(gomega.Equal(1))

		e.Restart()
		time.Sleep(4 * time.Second)
		g.Expect(coldLeft()).To(gomega.Equal(1000), "cold again after the restart")
		time.Sleep(time.Second)
		g.Expect(coldLeft()).To(gomega.BeZero())
		send(100)
		g.Expect(crashed).To(gomega.Equal(1), "no longer cold")
		e.SetCold(time.Second)
		send(16)
		g.Expect(crashed).To(gomega.Equal(2))
	})
}
