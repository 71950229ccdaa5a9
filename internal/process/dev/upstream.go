package dev

import (
	"fmt"
	"io/fs"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill/examples"
	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// generatedCount is the number of upstreams that are generated for a service without any in the built-in example.
const generatedCount = 2

// upstream holds the settings of an agent and of its stand-in.
type upstream struct {
	agent   settings.Agent
	standin settings.Standin
}

// upstreams returns the upstreams of the built-in example for the configured services, and generated ones for services that
// the example does not have.
func upstreams(cfg *controlpb.Configuration) ([]upstream, error) {
	all, err := exampleUpstreams()
	if err != nil {
		return nil, err
	}
	var out []upstream
	for _, svc := range cfg.GetServices() {
		fnd := all[svc.GetName()]
		if fnd == nil {
			fnd = generatedUpstreams(svc)
		}
		out = append(out, fnd...)
	}
	if out == nil {
		return nil, errors.New("the configuration has no service")
	}
	return out, nil
}

// exampleUpstreams returns the upstreams of the Rangsudhar example by service.
func exampleUpstreams() (map[string][]upstream, error) {
	dir, err := examples.Settings(examples.Rangsudhar)
	if err != nil {
		return nil, err
	}
	nams, err := fs.Glob(dir, "standin-*.toml")
	if err != nil {
		return nil, err
	}
	sort.Strings(nams)
	out := map[string][]upstream{}
	for _, nam := range nams {
		ups, err := readUpstream(dir, nam)
		if err != nil {
			return nil, errors.Wrap(err, "read built-in settings")
		}
		out[ups.standin.Service] = append(out[ups.standin.Service], ups)
	}
	return out, nil
}

func readUpstream(dir fs.FS, nam string) (upstream, error) {
	var ups upstream
	dat, err := fs.ReadFile(dir, nam)
	if err != nil {
		return ups, err
	}
	if ups.standin, err = settings.ParseStandin(nam, dat); err != nil {
		return ups, err
	}
	nam = "agent-" + strings.TrimPrefix(nam, "standin-")
	if dat, err = fs.ReadFile(dir, nam); err != nil {
		return ups, err
	}
	ups.agent, err = settings.ParseAgent(nam, dat)
	return ups, err
}

// generatedUpstreams returns upstreams in zones of their own. Without keys there are no grants, so that a stand-in that
// checks them would refuse every request.
func generatedUpstreams(svc *controlpb.Service) []upstream {
	keys := svc.GetKeyMode() != controlpb.KeyMode_KEY_MODE_NONE
	var out []upstream
	for num := range generatedCount {
		nam := fmt.Sprintf("%s-%d", svc.GetName(), num+1)
		out = append(out, upstream{
			agent: settings.Agent{Place: settings.Place{Name: "agent-" + nam, Zone: fmt.Sprintf("in-west-%c", 'a'+num), Region: "in-west"}},
			standin: settings.Standin{
				ID: nam, Service: svc.GetName(), Slots: 18, Connections: 120, ChecksFence: keys, Grants: keys,
				ServiceTime: 4 * time.Millisecond, ColdFactor: 1, HoldsKeys: svc.GetCarrier() == controlpb.Carrier_CARRIER_DIRECT,
			},
		})
	}
	return out
}
