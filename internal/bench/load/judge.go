package load

import (
	"fmt"
	"sort"
)

// Promises that the judge checks.
const (
	promiseOnce       = "runs_at_most_once"
	promiseNotRun     = "not_run_is_true"
	promiseWhole      = "whole_own_answer"
	promiseUpload     = "acknowledged_upload_kept"
	promiseOneOwner   = "one_owner"
	promiseAcceptedOk = "complete_was_run"
	promiseComplete   = "every_request_complete" // only if asked for
)

// Violation is one broken promise.
type Violation struct {
	Promise string `json:"promise"`
	Request string `json:"request_id"`
	Key     string `json:"key"`
	Detail  string `json:"detail"`
}

// judge compares what callers were told with what the ledgers say.
func judge(calls []*call, rows []row) []Violation {
	runs := map[string][]row{}
	for _, one := range rows {
		runs[one.RequestID] = append(runs[one.RequestID], one)
	}
	var out []Violation
	for _, cal := range calls {
		if cal.plan.direct {
			continue
		}
		out = append(out, judgeCall(cal, runs[cal.plan.id])...)
	}
	return append(out, judgeOwners(rows)...)
}

func judgeCall(cal *call, runs []row) []Violation {
	var out []Violation
	add := func(prm, fmtText string, args ...any) {
		out = append(out, Violation{prm, cal.plan.id, cal.plan.key, fmt.Sprintf(fmtText, args...)})
	}
	if cal.fault != "" {
		add(promiseWhole, "%s", cal.fault)
	}
	if cal.outcome == outcomeNotRun && cal.plan.shape.kind != kindIdempotent && len(runs) > 0 {
		add(promiseNotRun, "the caller was told not_run (%s), but it ran at %s", cal.reason, sources(runs))
	}
	if cal.plan.shape.kind == kindIdempotent {
		return out
	}
	if len(runs) > 1 {
		add(promiseOnce, "ran %d times at %s", len(runs), sources(runs))
	}
	if cal.outcome != outcomeComplete || cal.status >= 400 {
		return out
	}
	switch {
	case len(runs) == 0:
		add(promiseAcceptedOk, "answered complete, but no ledger holds a run")
	case cal.plan.shape.kind == kindUpload && (runs[0].Ended == 0 || runs[0].BodyHash != cal.bodyHash):
		add(promiseUpload, "acknowledged, but the stand-in holds another body or none")
	}
	return out
}

func sources(runs []row) string {
	txt := ""
	for idx, one := range runs {
		if idx > 0 {
			txt += ", "
		}
		txt += fmt.Sprintf("%s#%d", one.source, one.Sequence)
	}
	return txt
}

// judgeComplete names the requests whose callers did not get a whole answer.
func judgeComplete(calls []*call) []Violation {
	var out []Violation
	for _, cal := range calls {
		if !cal.plan.direct && !cal.served() {
			out = append(out, Violation{promiseComplete, cal.plan.id, cal.plan.key, fmt.Sprintf("outcome %s, status %d, reason %s", cal.outcome, cal.status, cal.reason)})
		}
	}
	return out
}

// judgeOwners finds keys served by two owners: a run that started under an older fencing token after a run under a newer one.
func judgeOwners(rows []row) []Violation {
	srt := make([]row, 0, len(rows))
	for _, one := range rows {
		if one.FencePartition != "" {
			srt = append(srt, one)
		}
	}
	sort.SliceStable(srt, func(i, j int) bool { return srt[i].Started < srt[j].Started })
	var out []Violation
	newest := map[string]row{}
	for _, one := range srt {
		prv := newest[one.FencePartition]
		if one.FenceToken >= prv.FenceToken {
			newest[one.FencePartition] = one
			continue
		}
		out = append(out, Violation{
			promiseOneOwner, one.RequestID, one.Key,
			fmt.Sprintf("%s#%d started under token %d of %s, %d us after %s#%d under token %d",
				one.source, one.Sequence, one.FenceToken, one.FencePartition,
				one.Started-prv.Started, prv.source, prv.Sequence, prv.FenceToken),
		})
	}
	return out
}
