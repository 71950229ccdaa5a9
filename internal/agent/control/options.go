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

// Options are the settings of a session; zero durations take the named defaults.
type Options struct {
	// Node describes this agent; control assigns its session number.
	Node *controlpb.Node
	// Control holds the IP:port of the control processes.
	Control []string
	// Logger is logrus's standard logger when nil.
	Logger *logrus.Logger
	// Counters counts the session's events when set.
	Counters *siskinrill.Counters
	// Lease is the duration of the lease, counted from when a renewal is sent, 1,400 ms by default; a shorter
	// one from control takes precedence.
	Lease time.Duration
	// Renew is the interval between renewals, 250 ms by default.
	Renew time.Duration
	// AnswerTimeout limits how long a leader that owes the answer to a renewal may send nothing, 400 ms by
	// default and longer on a connection that was slow to open.
	AnswerTimeout time.Duration
	// AnswerLimit limits the wait for the answer to a renewal, 1 s by default.
	AnswerLimit time.Duration
	// ConnectTimeout limits the opening of a TCP connection to a control process, 600 ms by default.
	ConnectTimeout time.Duration
	// WelcomeTimeout limits the wait for the first answer of a control process, 2 s by default.
	WelcomeTimeout time.Duration
	// Stagger is the delay between the first attempts at successive addresses, 30 ms by default.
	Stagger time.Duration
	// Retry is the first delay before an address is tried again, 50 ms by default; it doubles up to 300 ms
	// while the lease is valid and up to 1 s without one.
	Retry time.Duration
	// Report is the interval between load reports, 1 s by default.
	Report time.Duration
	// Freshness is how long an entry may serve after the last message of a leader, 10 s by default.
	Freshness time.Duration
	// Dial replaces the net package's dialer for connections to control when set; experiments use it to count
	// bytes.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Names of the events counted for a session.
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
