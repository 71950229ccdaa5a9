package caller

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/host/egress"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Options are the settings of a Handler; zero values select the defaults stated at the fields.
type Options struct {
	// Logger is logrus's standard logger when nil.
	Logger *logrus.Logger
	// RequestIDHeader is the header with the caller's request id for the log, X-Request-Id by default.
	RequestIDHeader string
	// CallerHeaders are the canonical names of the headers that tell callers apart; default: none.
	CallerHeaders []string
	// Grace is how long past its deadline a request that must not run twice waits to learn whether it ran, 100
	// ms by default.
	Grace time.Duration
	// Poll is the first pause before a failed owner is tried again if control sends no update, 25 ms by
	// default; it doubles up to 16 times this value.
	Poll time.Duration
	// DrainGrace is how long after a backend server first stated that it is leaving requests are still sent to it, 2.5 s
	// by default.
	DrainGrace time.Duration
	// Zone is the zone of the agent. It is not read from the table, which does not list the agent while control is out of
	// reach.
	Zone string
	// ZoneSpillover keeps requests of services without keys in the zone of the agent while it has room, and sends away
	// only the excess. Otherwise any upstream is picked, with a fixed penalty for other zones.
	ZoneSpillover bool
	// Pacer limits the rate of long answers; nil does not limit it.
	Pacer *egress.Pacer
	// MaxWaiting limits the requests that wait for an owner at the same time, 4,096 by default; further ones
	// are refused immediately.
	MaxWaiting int
}

func (opt Options) withDefaults() Options {
	opt.RequestIDHeader = cmp.Or(opt.RequestIDHeader, "X-Request-Id")
	opt.Grace = cmp.Or(opt.Grace, 100*time.Millisecond)
	opt.Poll = cmp.Or(opt.Poll, 25*time.Millisecond)
	opt.DrainGrace = cmp.Or(opt.DrainGrace, defaultDrainGrace)
	if opt.MaxWaiting <= 0 {
		// About one second of all requests at 3,600 requests/s, and about 100 MB.
		opt.MaxWaiting = 4096
	}
	if opt.Logger == nil {
		opt.Logger = logrus.StandardLogger()
	}
	return opt
}

// Defaults for services and routes that leave a limit at zero.
const (
	defaultTimeout          = 10 * time.Second
	defaultDrainGrace       = 2500 * time.Millisecond
	defaultOwnerWait        = 3 * time.Second
	defaultMaxBody          = 8 << 20
	defaultAttempts         = 3
	defaultOutstanding      = 512
	defaultRetryPercent     = 10
	defaultRetriesPerSecond = 10
)

func timeout(rte *controlpb.Route) time.Duration {
	return cmp.Or(time.Duration(rte.GetTimeoutMs())*time.Millisecond, defaultTimeout)
}

func maxOwnerWait(svc *controlpb.Service) time.Duration {
	return cmp.Or(time.Duration(svc.GetHoldMs())*time.Millisecond, defaultOwnerWait)
}

// maxBody returns the maximum body size in bytes: the smaller of the route's limit and the limit of all callers.
func (cal *call) maxBody() int64 {
	own, all := int64(cal.route.GetMaxBodyBytes()), int64(cal.han.session.Limits().GetMaxBodyBytes())
	if own > 0 && all > 0 {
		return min(own, all)
	}
	return cmp.Or(own, all, defaultMaxBody)
}

// maxAttempts returns the maximum number of upstreams that the request may reach.
func (cal *call) maxAttempts() int {
	return orDefault(cmp.Or(cal.route.GetMaxAttempts(), cal.service.GetMaxAttempts()), defaultAttempts)
}

func orDefault(num uint32, def int) int {
	if num > 0 {
		return int(num)
	}
	return def
}
