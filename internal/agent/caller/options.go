package caller

import (
	"cmp"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Options are the settings of a handler; zero values take the defaults named.
type Options struct {
	// Logger is logrus's standard logger when nil.
	Logger *logrus.Logger
	// RequestIDHeader names the header with the caller's id of a request, which the log tells, X-Request-Id by default.
	RequestIDHeader string
	// Grace is how long past its deadline a request that must not run twice waits for proof of what became of it, 100 ms by default.
	Grace time.Duration
	// Poll is the first pause before an owner that could not serve is asked again without news from control, 25 ms by default; it doubles up to 16 times itself.
	Poll time.Duration
	// MaxWaiting is the largest number of requests that wait for an owner at the same time, 4,096 by default; further ones are refused at once.
	MaxWaiting int
}

func (opt Options) withDefaults() Options {
	opt.RequestIDHeader = cmp.Or(opt.RequestIDHeader, "X-Request-Id")
	opt.Grace = cmp.Or(opt.Grace, 100*time.Millisecond)
	opt.Poll = cmp.Or(opt.Poll, 25*time.Millisecond)
	if opt.MaxWaiting <= 0 {
		// At 3,600 requests/s this is about one second of all requests, and some 100 MB.
		opt.MaxWaiting = 4096
	}
	if opt.Logger == nil {
		opt.Logger = logrus.StandardLogger()
	}
	return opt
}

// Defaults for a service or route that leaves a limit at zero.
const (
	defaultTimeout          = 10 * time.Second
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

// maxBody returns the most bytes that a body may have: the least of the route's limit and that of all callers.
func (cal *call) maxBody() int64 {
	own, all := int64(cal.route.GetMaxBodyBytes()), int64(cal.han.session.Limits().GetMaxBodyBytes())
	if own > 0 && all > 0 {
		return min(own, all)
	}
	return cmp.Or(own, all, defaultMaxBody)
}

// maxAttempts returns how many upstreams the request may reach.
func (cal *call) maxAttempts() int {
	return orDefault(cmp.Or(cal.route.GetMaxAttempts(), cal.service.GetMaxAttempts()), defaultAttempts)
}

func orDefault(num uint32, def int) int {
	if num > 0 {
		return int(num)
	}
	return def
}
