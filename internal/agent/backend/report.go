package backend

import (
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// report passes the upstream to OnUpstream if it has changed.
func (cli *Client) report() {
	cli.reportMu.Lock()
	defer cli.reportMu.Unlock()
	ups, changed := cli.upstream()
	if changed && cli.opt.OnUpstream != nil {
		cli.opt.OnUpstream(ups)
	}
}

func (cli *Client) upstream() (*controlpb.Upstream, bool) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.ann == nil {
		ups := departedUpstream(cli.departed, cli.opt.ExpectedService)
		changed := cli.departed.ID != "" && (cli.reported == nil || !sameUpstream(cli.reported, ups))
		if changed {
			cli.reported = ups
		}
		return ups, changed
	}
	if cli.state == controlpb.UpstreamState_UPSTREAM_STATE_FAILED && (cli.reportAfterEnd || time.Now().Before(cli.reportFrom)) {
		return nil, false
	}
	ups := &controlpb.Upstream{
		Id: cli.ann.ID, Service: cli.ann.Service, Slots: cli.ann.Slots,
		Connections: cli.ann.Connections, ChecksFence: cli.ann.ChecksFence, State: cli.state,
		Incarnation: cli.ann.Incarnation, Leaving: cli.advice.leaving,
	}
	if cli.reported != nil && sameUpstream(cli.reported, ups) {
		return nil, false
	}
	cli.reported = ups
	return ups, true
}

func sameUpstream(one, two *controlpb.Upstream) bool {
	return one.Id == two.Id && one.Service == two.Service && one.Slots == two.Slots &&
		one.Connections == two.Connections && one.ChecksFence == two.ChecksFence && one.State == two.State && one.Incarnation == two.Incarnation && one.Leaving == two.Leaving
}
