package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/infra"
	standin "dandelionrelay/standin/platform"
)

func TestViewFollowsListAndKeepsLastInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		list := standin.NewInstances(3 * time.Second)
		list.Set([]infra.Instance{
			{ID: "s2", Role: infra.RoleSidecar, Deployment: "d"},
			{ID: "s1", Role: infra.RoleSidecar, Deployment: "d"},
			{ID: "e1", Role: infra.RoleEntry},
		})
		v := NewView(list)
		ctx, cancel := context.WithCancel(t.Context())
		go v.Run(ctx)
		synctest.Wait()
		g.Expect(v.Entries()).To(gomega.BeEmpty())
		time.Sleep(5 * time.Second)
		list.SetDown(true)
		time.Sleep(5 * time.Second)
		g.Expect(v.Entries()).To(gomega.HaveLen(1))
		g.Expect(v.Endpoints("d")).To(gomega.HaveLen(2))
		g.Expect(v.Endpoints("d")[0].ID).To(gomega.Equal("s1"))
		cancel()
		synctest.Wait()
	})
}
