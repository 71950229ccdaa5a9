package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

const (
	maxLatency               = time.Minute
	latencySignificantDigits = 3
	// directKind is the kind in reports of requests sent directly to stand-ins.
	directKind = "direct"
	// maxShownViolations bounds the violations in the table; the JSON report has all.
	maxShownViolations = 20
)

// Latency summarises latencies in milliseconds, measured from the intended send time.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is the result of a load run: counts, latencies, balance, outages and broken promises.
type Report struct {
	Mix          string                    `json:"mix"`
	Seed         uint64                    `json:"seed"`
	Rate         float64                   `json:"rate_per_second"`
	DurationMs   int64                     `json:"duration_ms"`
	Requests     int                       `json:"requests"`
	Achieved     float64                   `json:"achieved_per_second"`
	Outcomes     map[string]map[string]int `json:"outcomes"`  // by kind
	Reasons      map[string]int            `json:"reasons"`   // of answers that are not complete
	Statuses     map[string]int            `json:"statuses"`  // of complete answers
	Latency      map[string]Latency        `json:"latency"`   // by kind
	Upstreams    map[string]Latency        `json:"upstreams"` // of idempotent requests, by the upstream that answered
	Added        map[string]float64        `json:"added"`     // routed idempotent requests compared with direct ones, as differences in ms and as ratios
	Balance      []Balance                 `json:"balance"`   // by service and window
	Unavailable  Unavailable               `json:"unavailable"`
	LedgerRows   int                       `json:"ledger_rows"`
	Resends      int                       `json:"resends"`
	Violations   []Violation               `json:"violations"`
	PromisesKept bool                      `json:"promises_kept"`
	Histograms   map[string][]Bar          `json:"histograms"` // by kind
	Seconds      []Second                  `json:"per_second"`
	byKind       map[string]*hdrhistogram.Histogram
	byUpstream   map[string]*hdrhistogram.Histogram
}

// Bar is one bucket of a latency histogram.
type Bar struct {
	FromMs float64 `json:"from_ms"`
	ToMs   float64 `json:"to_ms"`
	Count  int64   `json:"count"`
}

// Second summarises the requests that were due in one second of the run.
type Second struct {
	Second      int     `json:"second"`
	Requests    int     `json:"requests"`
	Unserved    int     `json:"unserved"`
	Unavailable int     `json:"unavailable_keys"`
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
}

func newReport(opt *Options, start time.Time, calls []*call, rows []row) *Report {
	rep := &Report{
		Mix: opt.Mix, Seed: opt.Seed, Rate: opt.Rate, DurationMs: opt.Duration.Milliseconds(),
		Requests: len(calls), LedgerRows: len(rows),
		Outcomes: map[string]map[string]int{}, Reasons: map[string]int{}, Statuses: map[string]int{},
		Latency: map[string]Latency{}, Upstreams: map[string]Latency{}, Added: map[string]float64{}, Histograms: map[string][]Bar{},
		byKind: map[string]*hdrhistogram.Histogram{}, byUpstream: map[string]*hdrhistogram.Histogram{},
	}
	for _, cal := range calls {
		rep.add(cal)
	}
	rep.summariseAll()
	rep.Violations = verify(calls, rows)
	if opt.NeedComplete {
		rep.Violations = append(rep.Violations, verifyAllComplete(calls)...)
	}
	rep.PromisesKept = len(rep.Violations) == 0
	rep.Balance = balances(start, calls)
	rep.Unavailable = unavailable(calls)
	rep.Seconds = perSecond(start, calls, rep.Unavailable.outages)
	if opt.Duration > 0 {
		rep.Achieved = float64(rep.Requests-rep.notSent()) / opt.Duration.Seconds()
	}
	return rep
}

func (rep *Report) add(cal *call) {
	kind := cal.plan.class.kind
	if cal.plan.direct {
		kind = directKind
	}
	if rep.Outcomes[kind] == nil {
		rep.Outcomes[kind] = map[string]int{}
		rep.byKind[kind] = newHistogram()
	}
	rep.Outcomes[kind][cal.outcome]++
	rep.Resends += cal.resends
	if cal.outcome != outcomeComplete {
		rep.Reasons[cal.reason]++
		return
	}
	rep.Statuses[fmt.Sprint(cal.status)]++
	_ = rep.byKind[kind].RecordValue(min(cal.latency(), maxLatency).Microseconds())
	if kind == kindIdempotent && cal.upstream != "" {
		rep.addUpstream(cal)
	}
}

func (rep *Report) addUpstream(cal *call) {
	hst := rep.byUpstream[cal.upstream]
	if hst == nil {
		hst = newHistogram()
		rep.byUpstream[cal.upstream] = hst
	}
	_ = hst.RecordValue(min(cal.latency(), maxLatency).Microseconds())
}

func (rep *Report) notSent() int {
	sum := 0
	for _, out := range rep.Outcomes {
		sum += out[outcomeNotSent]
	}
	return sum
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits)
}

func (rep *Report) summariseAll() {
	for kind, hst := range rep.byKind {
		rep.Latency[kind] = summarise(hst)
		rep.Histograms[kind] = bars(hst)
	}
	for nam, hst := range rep.byUpstream {
		rep.Upstreams[nam] = summarise(hst)
	}
	direct, hasDirect := rep.Latency[directKind]
	idempotent, hasIdempotent := rep.Latency[kindIdempotent]
	if !hasDirect || !hasIdempotent || direct.P50 == 0 || direct.P99 == 0 {
		return
	}
	rep.Added = map[string]float64{
		"p50_ms": idempotent.P50 - direct.P50, "p50_ratio": idempotent.P50 / direct.P50,
		"p99_ms": idempotent.P99 - direct.P99, "p99_ratio": idempotent.P99 / direct.P99,
	}
}

func summarise(hst *hdrhistogram.Histogram) Latency {
	msec := func(qnt float64) float64 { return float64(hst.ValueAtQuantile(qnt)) / 1000 }
	return Latency{hst.TotalCount(), msec(50), msec(90), msec(99), msec(99.9), float64(hst.Max()) / 1000}
}

func bars(hst *hdrhistogram.Histogram) []Bar {
	var out []Bar
	for _, bar := range hst.Distribution() {
		if bar.Count > 0 {
			out = append(out, Bar{float64(bar.From) / 1000, float64(bar.To) / 1000, bar.Count})
		}
	}
	return out
}

// perSecond summarises the calls by the second in which they were due; outages count in each second that they touch.
func perSecond(start time.Time, calls []*call, outages []outage) []Second {
	var out []Second
	var hsts []*hdrhistogram.Histogram
	for _, cal := range calls {
		num := int(cal.intendedAt.Sub(start) / time.Second)
		for len(out) <= num {
			out = append(out, Second{Second: len(out)})
			hsts = append(hsts, newHistogram())
		}
		out[num].Requests++
		if !cal.served() {
			out[num].Unserved++
			continue
		}
		_ = hsts[num].RecordValue(min(cal.latency(), maxLatency).Microseconds())
	}
	for num := range out {
		sum := summarise(hsts[num])
		out[num].P50, out[num].P99 = sum.P50, sum.P99
	}
	for _, otg := range outages {
		for num := int(otg.from.Sub(start) / time.Second); num <= int(otg.to.Sub(start)/time.Second) && num < len(out); num++ {
			out[num].Unavailable++
		}
	}
	return out
}

// WriteJSON writes the complete report as indented JSON, including what WriteTable omits.
func (rep *Report) WriteJSON(wri io.Writer) error {
	enc := json.NewEncoder(wri)
	enc.SetIndent("", "  ")
	if err := enc.Encode(rep); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}

// WriteTable writes a human-readable summary with at most 20 violations.
func (rep *Report) WriteTable(wri io.Writer) error {
	tab := tabwriter.NewWriter(wri, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tab, "%d requests, %.0f a second wanted, %.0f reached, mix %s, seed %d\n\n", rep.Requests, rep.Rate, rep.Achieved, rep.Mix, rep.Seed)
	fmt.Fprintln(tab, "KIND\tCOMPLETE\tNOT_RUN\tUNKNOWN\tNO_ANSWER\tNOT_SENT\tP50 MS\tP99 MS\tP99.9 MS\tMAX MS")
	for _, kind := range sortedKeys(rep.Latency) {
		out, lat := rep.Outcomes[kind], rep.Latency[kind]
		fmt.Fprintf(tab, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", kind,
			out[outcomeComplete], out[outcomeNotRun], out[outcomeUnknown], out[outcomeNoAnswer], out[outcomeNotSent],
			lat.P50, lat.P99, lat.P999, lat.Max)
	}
	rep.writeUpstreams(tab)
	rep.writeBalance(tab)
	fmt.Fprintf(tab, "\nunavailable: %d keys, worst %d ms, 99th percentile %d ms\n", rep.Unavailable.Keys, rep.Unavailable.WorstMs, rep.Unavailable.P99Ms)
	if len(rep.Added) > 0 {
		fmt.Fprintf(tab, "added to a direct request: median %.2f ms (%.2f times), 99th percentile %.2f ms (%.2f times)\n",
			rep.Added["p50_ms"], rep.Added["p50_ratio"], rep.Added["p99_ms"], rep.Added["p99_ratio"])
	}
	rep.writeReasons(tab)
	rep.writeViolations(tab)
	if err := tab.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return nil
}

func (rep *Report) writeUpstreams(tab io.Writer) {
	if len(rep.Upstreams) == 0 {
		return
	}
	fmt.Fprintln(tab, "\nUPSTREAM\tIDEMPOTENT\tP50 MS\tP99 MS\tMAX MS")
	for _, nam := range sortedKeys(rep.Upstreams) {
		lat := rep.Upstreams[nam]
		fmt.Fprintf(tab, "%s\t%d\t%.2f\t%.2f\t%.2f\n", nam, lat.Count, lat.P50, lat.P99, lat.Max)
	}
}

func (rep *Report) writeBalance(tab io.Writer) {
	if len(rep.Balance) == 0 {
		return
	}
	fmt.Fprintln(tab, "\nSERVICE\tFROM S\tUPSTREAMS\tIMBALANCE\tBEST\tCHURN\tKEYS")
	for _, bal := range rep.Balance {
		fmt.Fprintf(tab, "%s\t%d\t%d\t%.3f\t%.3f\t%.4f\t%d\n", bal.Service, bal.StartMs/1000, bal.Upstreams, bal.Imbalance, bal.Best, bal.Churn, bal.Keys)
	}
}

func (rep *Report) writeReasons(tab io.Writer) {
	if len(rep.Reasons) == 0 {
		return
	}
	lst := make([]string, 0, len(rep.Reasons))
	for rsn, cnt := range rep.Reasons {
		lst = append(lst, fmt.Sprintf("%s %d", rsn, cnt))
	}
	sort.Strings(lst)
	fmt.Fprintf(tab, "reasons: %s\n", strings.Join(lst, ", "))
}

func (rep *Report) writeViolations(tab io.Writer) {
	if rep.PromisesKept {
		fmt.Fprintf(tab, "ledgers: %d runs checked, every promise kept\n", rep.LedgerRows)
		return
	}
	fmt.Fprintf(tab, "ledgers: %d runs checked, %d VIOLATIONS\n", rep.LedgerRows, len(rep.Violations))
	for num, vio := range rep.Violations {
		if num == maxShownViolations {
			fmt.Fprintf(tab, "  and %d more\n", len(rep.Violations)-num)
			return
		}
		fmt.Fprintf(tab, "  %s: request %s, key %s: %s\n", vio.Promise, vio.Request, vio.Key, vio.Detail)
	}
}

func sortedKeys(lat map[string]Latency) []string {
	out := make([]string, 0, len(lat))
	for key := range lat {
		out = append(out, key)
	}
	sort.Strings(out)
	return out
}
