package agent

import (
	"net/http"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/ingress"
	"github.com/siskinrill/siskinrill/internal/process/actor"
)

// callerServer returns the HTTP server for callers.
func (prc *Process) callerServer() actor.Server {
	aborted := prc.translate(http.HandlerFunc(prc.entry.Aborted))
	return actor.Server{
		Limits: actor.Limits{
			HeadLines:   int(prc.options.Settings.MaxHeadLines),
			HeadBytes:   prc.maxHeadBytes,
			HeadTime:    func() time.Duration { return milliseconds(prc.session.Limits().GetHeaderTimeoutMs()) },
			IdleTime:    func() time.Duration { return milliseconds(prc.session.Limits().GetIdleTimeoutMs()) },
			Connections: prc.options.Settings.Resources().CallerConnections(),
			Refusal:     func(hee *ingress.HeadError) http.Handler { return prc.translate(prc.entry.HeadRefused(hee)) },
		},
		Listener: prc.options.Callers, Handler: prc.callers, Ending: prc.stopping.Load, Event: prc.counters.Event,
		Pipelining: actor.Pipelining{
			Depth: int(prc.options.Settings.Pipelined), Ahead: prc.mayRunAhead, Aborted: aborted,
		},
	}
}

// translate wraps a handler of callers' requests in Options.Translate.
func (prc *Process) translate(hdl http.Handler) http.Handler {
	if prc.options.Translate == nil {
		return hdl
	}
	return prc.options.Translate(hdl)
}

// maxHeadBytes returns the configured limit of the head of a request in bytes, 0 if there is none.
func (prc *Process) maxHeadBytes() int { return int(prc.session.Limits().GetMaxHeaderBytes()) }

func milliseconds(num uint32) time.Duration { return time.Duration(num) * time.Millisecond }

// mayRunAhead reports whether a request may start before those ahead of it on its connection are answered. When one of their
// responses closes the connection, the caller sends the request again, so that only an idempotent one may have run by then.
func (prc *Process) mayRunAhead(req *http.Request) bool {
	rte, _, _ := prc.session.Match(req.Host, req.Method, req.URL.EscapedPath())
	return rte != nil && siskinrill.IsIdempotent(rte.GetKind())
}
