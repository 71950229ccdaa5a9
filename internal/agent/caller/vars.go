package caller

import (
	"expvar"
	"time"
)

// zoneGauges is what this agent estimates about the upstreams of a service in a zone, as shown at the admin address.
type zoneGauges struct {
	UsePercent  int `json:"use_percent"`  // running and queued requests per slot
	WaitMs      int `json:"wait_ms"`      // in the queue
	DelayMs     int `json:"delay_ms"`     // of answers, beyond that from the agent's zone
	LinkPercent int `json:"link_percent"` // quality of the link, 100: good
}

// Vars returns the gauges of the entry by the name under which the admin address shows them.
func (han *Handler) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{"spillover": expvar.Func(func() any { return han.spillovers.gauges(han.opt.Zone, time.Now()) })}
}

// gauges returns the estimates by service and zone.
func (spv *spillovers) gauges(home string, now time.Time) map[string]map[string]zoneGauges {
	spv.mu.Lock()
	defer spv.mu.Unlock()
	out := map[string]map[string]zoneGauges{}
	for svc, spl := range spv.byName {
		out[svc] = spl.gauges(home, now)
	}
	return out
}

func (spl *spillover) gauges(home string, now time.Time) map[string]zoneGauges {
	spl.mu.Lock()
	defer spl.mu.Unlock()
	out := map[string]zoneGauges{}
	own := spl.zone(home, now)
	for pos := range spl.zones {
		zon := &spl.zones[pos]
		zon.decayTo(now)
		gau := zoneGauges{UsePercent: int(100 * zon.use()), WaitMs: int(zon.waitTime())}
		if zon != own {
			gau.DelayMs = int(spl.delay(zon, own))
			gau.LinkPercent = int(100 * spl.quality(zon, own))
		} else {
			gau.LinkPercent = 100
		}
		out[zon.name] = gau
	}
	return out
}
