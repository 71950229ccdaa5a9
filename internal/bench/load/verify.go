package load

import (
	"fmt"
	"sort"
)

// Promises that are checked; their values are the names in reports.
const (
	promiseRunsAtMostOnce = "runs_at_most_once"
	promiseNotRunIsTrue   = "not_run_is_true"
	promiseWholeOwnAnswer = "whole_own_answer"
	promiseUploadKept     = "acknowledged_upload_kept"
	promiseOneOwner       = "one_owner"
	promiseCompleteWasRun = "complete_was_run"
	promiseEveryComplete  = "every_request_complete" // only with Options.NeedComplete
)

// Violation is one broken promise.
type Violation struct {
	Promise string `json:"promise"`
	Request string `json:"request_id"`
	Key     string `json:"key"`
	Detail  string `json:"detail"`
}

// verify compares the callers' answers with the ledgers and returns the violations; direct requests are not checked.
func verify(calls []*call, rows []row) []Violation {
	runs := map[string][]row{}
	for _, one := range rows {
		runs[one.RequestID] = append(runs[one.RequestID], one)
	}
	var out []Violation
	for _, cal := range calls {
		if cal.plan.direct {
			continue
		}
		out = append(out, verifyCall(cal, runs[cal.plan.id])...)
	}
	return append(out, verifyOwners(rows)...)
}

// verifyCall checks one call against its runs. Idempotent requests may run several times, so only their answer is
// checked.
func verifyCall(cal *call, runs []row) []Violation {
	var out []Violation
	add := func(prm, format string, args ...any) {
		out = append(out, Violation{prm, cal.plan.id, cal.plan.key, fmt.Sprintf(format, args...)})
	}
	if cal.answerFault != "" {
		add(promiseWholeOwnAnswer, "%s", cal.answerFault)
	}
	if cal.outcome == outcomeNotRun && cal.plan.class.kind != kindIdempotent && len(runs) > 0 {
		add(promiseNotRunIsTrue, "answered not_run (%s), but the ledgers have the runs %s", cal.reason, formatSources(runs))
	}
	if cal.plan.class.kind == kindIdempotent {
		return out
	}
	if len(runs) > 1 {
		add(promiseRunsAtMostOnce, "ran %d times: %s", len(runs), formatSources(runs))
	}
	if cal.outcome != outcomeComplete || cal.status >= 400 {
		return out
	}
	switch {
	case len(runs) == 0:
		add(promiseCompleteWasRun, "answered complete, but no ledger has a run")
	case cal.plan.class.kind == kindUpload && (runs[0].Ended == 0 || runs[0].BodyHash != cal.bodyHash):
		add(promiseUploadKept, "acknowledged, but the ledger has another body or an unfinished run")
	}
	return out
}

// formatSources lists runs as LEDGER#SEQUENCE.
func formatSources(runs []row) string {
	txt := ""
	for idx, one := range runs {
		if idx > 0 {
			txt += ", "
		}
		txt += fmt.Sprintf("%s#%d", one.source, one.Sequence)
	}
	return txt
}

// verifyAllComplete returns a violation for each request whose caller got no complete answer, or one with status
// 500 or higher.
func verifyAllComplete(calls []*call) []Violation {
	var out []Violation
	for _, cal := range calls {
		if !cal.plan.direct && !cal.served() {
			out = append(out, Violation{promiseEveryComplete, cal.plan.id, cal.plan.key, fmt.Sprintf("outcome %s, status %d, reason %s", cal.outcome, cal.status, cal.reason)})
		}
	}
	return out
}

// verifyOwners returns a violation for each run that started under a lower fencing token after a run of the same
// partition under a higher one, since the partition then had two owners.
func verifyOwners(rows []row) []Violation {
	fenced := make([]row, 0, len(rows))
	for _, one := range rows {
		if one.FencePartition != "" {
			fenced = append(fenced, one)
		}
	}
	sort.SliceStable(fenced, func(i, j int) bool { return fenced[i].Started < fenced[j].Started })
	var out []Violation
	newest := map[string]row{}
	for _, one := range fenced {
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
