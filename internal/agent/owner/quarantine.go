package owner

import (
	"github.com/siskinrill/siskinrill/internal/agent/fingerprint"
)

// quarantined reports whether an attempt must not be run; its request may have come into quarantine while it waited.
func (own *Owner) quarantined(tck *ticket) bool {
	return own.ses.AnyQuarantined() && own.ses.Quarantined(fingerprint.OfAttempt(tck.attempt().Open(), own.opt.CallerHeaders))
}
