package load

import (
	"sort"
	"time"
)

const (
	windowSize = 10 * time.Second // of imbalance and churn
	// A request that waits longer than this counts as unavailable even if it is served in the end.
	unavailableWait = time.Second
)

// Balance is the load of a service's upstreams in one window.
type Balance struct {
	Service   string  `json:"service"`
	StartMs   int64   `json:"start_ms"`
	Upstreams int     `json:"upstreams"`
	Imbalance float64 `json:"imbalance"`      // highest over mean
	Best      float64 `json:"best_imbalance"` // least that any assignment of the same keys could reach
	Churn     float64 `json:"churn"`          // share of the keys seen in both windows whose upstream changed
	Keys      int     `json:"keys"`
}

type window struct {
	loads map[string]int    // by upstream
	keys  map[string]int    // by key
	owner map[string]string // newest upstream by key
}

// balances returns a row for each service and window, by the upstream that answered.
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
	nam := cal.plan.shape.service
	if wins[nam] == nil {
		wins[nam] = map[int64]*window{}
	}
	num := int64(cal.begun.Sub(start) / windowSize)
	win := wins[nam][num]
	if win == nil {
		win = &window{loads: map[string]int{}, keys: map[string]int{}, owner: map[string]string{}}
		wins[nam][num] = win
	}
	win.loads[cal.upstream]++
	win.keys[cal.plan.key]++
	win.owner[cal.plan.key] = cal.upstream
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
		out = append(out, oneBalance(nam, num, wins[num], wins[num-1], len(ups)))
	}
	return out
}

func oneBalance(nam string, num int64, win, prv *window, ups int) Balance {
	high, hot, sum := 0, 0, 0
	for _, cnt := range win.loads {
		high = max(high, cnt)
		sum += cnt
	}
	for _, cnt := range win.keys {
		hot = max(hot, cnt)
	}
	mean := float64(sum) / float64(ups)
	return Balance{
		Service: nam, StartMs: num * windowSize.Milliseconds(), Upstreams: ups,
		Imbalance: float64(high) / mean,
		Best:      max(1, float64(hot)/mean), // one key cannot be split
		Churn:     churn(win, prv),
		Keys:      len(win.keys),
	}
}

func churn(win, prv *window) float64 {
	if prv == nil {
		return 0
	}
	both, moved := 0, 0
	for key, own := range win.owner {
		was, ok := prv.owner[key]
		if !ok {
			continue
		}
		both++
		if was != own {
			moved++
		}
	}
	if both == 0 {
		return 0
	}
	return float64(moved) / float64(both)
}

// Unavailable is the time in which keys were not served.
type Unavailable struct {
	Keys    int   `json:"keys"` // with any unavailable time
	WorstMs int64 `json:"worst_ms"`
	P99Ms   int64 `json:"p99_ms"` // over all keys, those without any included
	spans   []span
}

type span struct{ from, to time.Time }

func (spn span) length() time.Duration { return spn.to.Sub(spn.from) }

// unavailable computes, for each key, the time from the first request that fails or waits too long to the first one served again.
func unavailable(calls []*call) Unavailable {
	byKey := map[string][]*call{}
	for _, cal := range calls {
		if cal.outcome == outcomeNotSent || cal.plan.direct {
			continue
		}
		nam := cal.plan.shape.service + "/" + cal.plan.key
		byKey[nam] = append(byKey[nam], cal)
	}
	var una Unavailable
	worst := make([]time.Duration, 0, len(byKey))
	for _, list := range byKey {
		spns := keySpans(list)
		una.spans = append(una.spans, spns...)
		var len0 time.Duration
		for _, spn := range spns {
			len0 = max(len0, spn.length())
		}
		if len0 > 0 {
			una.Keys++
		}
		worst = append(worst, len0)
	}
	sort.Slice(worst, func(i, j int) bool { return worst[i] < worst[j] })
	if len(worst) > 0 {
		una.WorstMs = worst[len(worst)-1].Milliseconds()
		una.P99Ms = worst[(len(worst)-1)*99/100].Milliseconds()
	}
	return una
}

// keySpans returns the outages of one key; a request that waits too long but is served ends its outage itself.
func keySpans(list []*call) []span {
	sort.Slice(list, func(i, j int) bool { return list[i].begun.Before(list[j].begun) })
	var out []span
	open := false // the newest outage has not seen a served request
	for _, cal := range list {
		srv := cal.served()
		if srv && !open && cal.latency() <= unavailableWait {
			continue
		}
		cur := len(out) - 1
		if cur < 0 || (!open && cal.begun.After(out[cur].to)) {
			out = append(out, span{from: cal.begun, to: cal.ended})
			cur++
		}
		out[cur].to = maxTime(out[cur].to, cal.ended)
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
