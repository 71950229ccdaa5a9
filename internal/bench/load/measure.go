package load

import (
	"sort"
	"time"
)

const (
	windowSize = 10 * time.Second // for imbalance and churn
	// unavailableAfter is the latency above which a key counts as unavailable even if the request is served.
	unavailableAfter = time.Second
)

// Balance describes the distribution of a service's load over its upstreams in one window.
type Balance struct {
	Service   string  `json:"service"`
	StartMs   int64   `json:"start_ms"`
	Upstreams int     `json:"upstreams"`
	Imbalance float64 `json:"imbalance"`      // highest load of an upstream over the mean
	Best      float64 `json:"best_imbalance"` // lower bound for any assignment of the same keys
	Churn     float64 `json:"churn"`          // share of the keys present in this and the previous window whose upstream changed
	Keys      int     `json:"keys"`
}

type window struct {
	loads        map[string]int    // requests by upstream
	keys         map[string]int    // requests by key
	lastUpstream map[string]string // by key
}

// balances returns the balance of each service and window, counting complete answers of routed requests.
func balances(start time.Time, calls []*call) []Balance {
	wins := map[string]map[int64]*window{}
	for _, cal := range calls {
		if cal.outcome == outcomeComplete && cal.upstream != "" && !cal.plan.direct {
			addToWindow(wins, start, cal)
		}
	}
	svc := make([]string, 0, len(wins))
	for nam := range wins {
		svc = append(svc, nam)
	}
	sort.Strings(svc)
	var out []Balance
	for _, nam := range svc {
		out = append(out, serviceBalances(nam, wins[nam])...)
	}
	return out
}

func addToWindow(wins map[string]map[int64]*window, start time.Time, cal *call) {
	nam := cal.plan.class.service
	if wins[nam] == nil {
		wins[nam] = map[int64]*window{}
	}
	num := int64(cal.intendedAt.Sub(start) / windowSize)
	win := wins[nam][num]
	if win == nil {
		win = &window{loads: map[string]int{}, keys: map[string]int{}, lastUpstream: map[string]string{}}
		wins[nam][num] = win
	}
	win.loads[cal.upstream]++
	win.keys[cal.plan.key]++
	win.lastUpstream[cal.plan.key] = cal.upstream
}

func serviceBalances(nam string, wins map[int64]*window) []Balance {
	ups := map[string]bool{}
	nums := make([]int64, 0, len(wins))
	for num, win := range wins {
		nums = append(nums, num)
		for one := range win.loads {
			ups[one] = true
		}
	}
	sort.Slice(nums, func(i, j int) bool { return nums[i] < nums[j] })
	var out []Balance
	for _, num := range nums {
		out = append(out, windowBalance(nam, num, wins[num], wins[num-1], len(ups)))
	}
	return out
}

func windowBalance(nam string, num int64, win, previous *window, ups int) Balance {
	maxLoad, maxKeyLoad, sum := 0, 0, 0
	for _, cnt := range win.loads {
		maxLoad = max(maxLoad, cnt)
		sum += cnt
	}
	for _, cnt := range win.keys {
		maxKeyLoad = max(maxKeyLoad, cnt)
	}
	mean := float64(sum) / float64(ups)
	return Balance{
		Service: nam, StartMs: num * windowSize.Milliseconds(), Upstreams: ups,
		Imbalance: float64(maxLoad) / mean,
		Best:      max(1, float64(maxKeyLoad)/mean), // a key cannot be split over upstreams
		Churn:     churn(win, previous),
		Keys:      len(win.keys),
	}
}

func churn(win, previous *window) float64 {
	if previous == nil {
		return 0
	}
	common, moved := 0, 0
	for key, upstream := range win.lastUpstream {
		previousUpstream, ok := previous.lastUpstream[key]
		if !ok {
			continue
		}
		common++
		if previousUpstream != upstream {
			moved++
		}
	}
	if common == 0 {
		return 0
	}
	return float64(moved) / float64(common)
}

// Unavailable summarises the times during which keys were not served.
type Unavailable struct {
	Keys    int   `json:"keys"` // with any outage
	WorstMs int64 `json:"worst_ms"`
	P99Ms   int64 `json:"p99_ms"` // over all keys, including those without an outage
	outages []outage
}

type outage struct{ from, to time.Time }

func (otg outage) duration() time.Duration { return otg.to.Sub(otg.from) }

// unavailable computes the longest outage of each key: from the intended send time of the first request that fails or
// takes longer than unavailableAfter until a request for the key is served.
func unavailable(calls []*call) Unavailable {
	byKey := map[string][]*call{}
	for _, cal := range calls {
		if cal.outcome == outcomeNotSent || cal.plan.direct {
			continue
		}
		nam := cal.plan.class.service + "/" + cal.plan.key
		byKey[nam] = append(byKey[nam], cal)
	}
	var una Unavailable
	longestByKey := make([]time.Duration, 0, len(byKey))
	for _, list := range byKey {
		outages := keyOutages(list)
		una.outages = append(una.outages, outages...)
		var longest time.Duration
		for _, otg := range outages {
			longest = max(longest, otg.duration())
		}
		if longest > 0 {
			una.Keys++
		}
		longestByKey = append(longestByKey, longest)
	}
	sort.Slice(longestByKey, func(i, j int) bool { return longestByKey[i] < longestByKey[j] })
	if len(longestByKey) > 0 {
		una.WorstMs = longestByKey[len(longestByKey)-1].Milliseconds()
		una.P99Ms = longestByKey[(len(longestByKey)-1)*99/100].Milliseconds()
	}
	return una
}

// keyOutages returns the outages of one key; a request that is served too slowly is an outage that its own answer ends.
func keyOutages(list []*call) []outage {
	sort.Slice(list, func(i, j int) bool { return list[i].intendedAt.Before(list[j].intendedAt) })
	var out []outage
	open := false // no request was served since the last outage began
	for _, cal := range list {
		srv := cal.served()
		if srv && !open && cal.latency() <= unavailableAfter {
			continue
		}
		last := len(out) - 1
		if last < 0 || (!open && cal.intendedAt.After(out[last].to)) {
			out = append(out, outage{from: cal.intendedAt, to: cal.endedAt})
			last++
		}
		out[last].to = maxTime(out[last].to, cal.endedAt)
		open = !srv
	}
	return out
}

func maxTime(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}
