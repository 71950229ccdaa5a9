package member

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a group that cannot form, serve, or continue from its disks.
func TestGroupRestart(tst *testing.T) {
	for name, size := range map[string]int{"one": 1, "five": 5} {
		tst.Run(name, func(tst *testing.T) {
			clu := newCluster(tst, size)
			ldr := clu.leader(5 * time.Second)
			clu.run(ldr, "a", 20)
			must.NoError(tst, ldr.Confirm(context.Background()))
			clu.converge(20, 5*time.Second)
			for _, prc := range clu.prcs {
				must.NoError(tst, prc.kill())
			}
			for _, per := range clu.peers {
				clu.start(per.Name, per.Address, per.Name, nil)
			}
			clu.run(clu.leader(5*time.Second), "b", 20)
			clu.converge(40, 5*time.Second)
		})
	}
}
