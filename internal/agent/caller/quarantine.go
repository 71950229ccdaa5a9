package caller

import (
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/fingerprint"
)

// quarantineRetryAfter is advised to callers of a request in quarantine, which lasts for minutes.
const quarantineRetryAfter = time.Minute

// refuseQuarantined returns a refusal if the request is in quarantine, because it has crashed several backend servers.
func (cal *call) refuseQuarantined() *siskinrill.Refusal {
	if !cal.han.session.AnyQuarantined() {
		return nil
	}
	req := fingerprint.Request{
		Service: cal.service.GetName(), Method: cal.req.Method, Target: cal.requestTarget,
		Headers: cal.headers, Body: cal.body.prefix, Length: cal.body.length,
	}
	if !cal.han.session.Quarantined(fingerprint.Of(req, cal.han.opt.CallerHeaders)) {
		return nil
	}
	return siskinrill.NotRun(siskinrill.ReasonQuarantined).WithRetryAfter(quarantineRetryAfter)
}
