package backend

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
)

// checkAttempt returns a refusal of unknown outcome if an answer may belong to an earlier attempt on its connection: it names
// another attempt, or it names none where that proves too little. A server may write an earlier answer once more.
func (rnn *run) checkAttempt(res *http.Response) *siskinrill.Refusal {
	named := res.Header.Get(siskinrill.HeaderAttempt)
	res.Header.Del(siskinrill.HeaderAttempt) // not for callers
	if named == rnn.name || named == "" && !rnn.needsName(res) {
		return nil
	}
	res.Body.Close()
	rnn.tgt.pool.CloseIdleConnections() // further answers on them may be out of step with their requests
	rnn.cli.cnt.Event("backend_unmatched_answer")
	rnn.cli.mtr.fail()
	return rnn.lost(siskinrill.ReasonBackendBadAnswer, errors.Errorf("the answer names attempt %q instead of %q", named, rnn.name))
}

// needsName reports whether an answer that names no attempt must not be accepted. A refusal as not run may come from a server
// that has not read the request, but on a connection that was used before it may be that of an earlier request.
func (rnn *run) needsName(res *http.Response) bool {
	if res.Header.Get(siskinrill.HeaderNotRun) == "true" {
		return rnn.reused.Load()
	}
	return rnn.cli.opt.NamedAttempts
}
