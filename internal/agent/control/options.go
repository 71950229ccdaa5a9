package control

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Options are the settings of a session; zero timings take the defaults named.
type Options struct {
	// Node describes this agent; its session number is filled in by control.
	Node *controlpb.Node
	// Control holds the IP:port of the control processes.
	Control []string
	// Logger is logrus's standard logger when nil.
	Logger *logrus.Logger
	// Counters counts the events of the session when set.
	Counters *siskinrill.Counters
	// Lease is the time to live counted from the sending of a renewal, 1,400 ms by default; a shorter one named by control takes precedence.
	Lease time.Duration
	// Renew is the interval of renewals, 250 ms by default.
	Renew time.Duration
	// AnswerTimeout is the longest silence of a leader that owes the answer to a renewal, 400 ms by default; it is longer on a connection that took long to open.
	AnswerTimeout time.Duration
	// AnswerLimit is the longest wait for the answer to a renewal, 1 s by default.
	AnswerLimit time.Duration
	// ConnectTimeout is the longest time for a TCP connection to a control process, 600 ms by default.
	ConnectTimeout time.Duration
	// WelcomeTimeout is the longest wait for the first answer of a control process, 2 s by default.
	WelcomeTimeout time.Duration
	// Stagger is the time between the first attempts at the addresses, 30 ms by default.
	Stagger time.Duration
	// Retry is the first pause before an address is tried again, 50 ms by default; it doubles up to 300 ms while the lease runs and up to 1 s without one.
	Retry time.Duration
	// Report is the interval of load reports, 1 s by default.
	Report time.Duration
	// Freshness is how long an entry may serve after the last message of a leader, 10 s by default.
	Freshness time.Duration
	// Dial opens connections to control instead of the net package, nil for none; experiments count bytes with it.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Events of a session.
const (
	eventConnected      = "session_connected"
	eventConnectionLost = "session_connection_lost"
	eventSilent         = "session_leader_silent"
	eventExpired        = "session_expired"
	eventSnapshot       = "session_table_snapshot"
	eventGap            = "session_table_gap"
)

func (opt Options) withDefaults() Options {
	opt.Lease = cmp.Or(opt.Lease, 1400*time.Millisecond)
	opt.Renew = cmp.Or(opt.Renew, 250*time.Millisecond)
	opt.AnswerTimeout = cmp.Or(opt.AnswerTimeout, 400*time.Millisecond)
	opt.AnswerLimit = cmp.Or(opt.AnswerLimit, time.Second)
	opt.ConnectTimeout = cmp.Or(opt.ConnectTimeout, 600*time.Millisecond)
	opt.WelcomeTimeout = cmp.Or(opt.WelcomeTimeout, 2*time.Second)
	opt.Stagger = cmp.Or(opt.Stagger, 30*time.Millisecond)
	opt.Retry = cmp.Or(opt.Retry, 50*time.Millisecond)
	opt.Report = cmp.Or(opt.Report, time.Second)
	opt.Freshness = cmp.Or(opt.Freshness, 10*time.Second)
	if opt.Logger == nil {
		opt.Logger = logrus.StandardLogger()
	}
	if opt.Counters == nil {
		opt.Counters = siskinrill.NewCounters()
	}
	if opt.Node == nil {
		opt.Node = &controlpb.Node{}
	}
	return opt
}
