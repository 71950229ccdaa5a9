package http

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// findTimeout limits the search for the leader; an election takes up to 600 ms.
	findTimeout = 4 * time.Second
	// attemptTimeout limits one call, so that an isolated control process does not use up the time of the search.
	attemptTimeout = 1500 * time.Millisecond
	// findRetryInterval is the delay after a round in which no control process answered as leader.
	findRetryInterval = 50 * time.Millisecond
)

// Operator calls the OperatorService of the control leader, which it finds from any control address.
type Operator struct {
	mutex     sync.Mutex
	addresses []string
	leader    string
	conns     map[string]*grpc.ClientConn
}

// NewOperator returns a client that knows the IP:port of one or more control processes.
func NewOperator(adrs ...string) *Operator {
	return &Operator{addresses: append([]string{}, adrs...), conns: map[string]*grpc.ClientConn{}}
}

// Close closes the connections to all control processes.
func (opr *Operator) Close() {
	opr.mutex.Lock()
	defer opr.mutex.Unlock()
	for _, con := range opr.conns {
		_ = con.Close()
	}
	opr.conns = map[string]*grpc.ClientConn{}
}

// Status returns the leader's view of the members, services and upstreams.
func (opr *Operator) Status(ctx context.Context) (*controlpb.StatusAnswer, error) {
	var ans *controlpb.StatusAnswer
	err := opr.call(ctx, callOptions{}, func(ctx context.Context, cli controlpb.OperatorServiceClient) (err error) {
		ans, err = cli.Status(ctx, &controlpb.StatusRequest{})
		return err
	})
	opr.addMembers(ans.GetMembers())
	return ans, err
}

// Show returns the configuration that is in force and its log index.
func (opr *Operator) Show(ctx context.Context) (*controlpb.ShowAnswer, error) {
	var ans *controlpb.ShowAnswer
	err := opr.call(ctx, callOptions{}, func(ctx context.Context, cli controlpb.OperatorServiceClient) (err error) {
		ans, err = cli.Show(ctx, &controlpb.ShowRequest{})
		return err
	})
	return ans, err
}

// Owner returns the upstream and the agent that own a key of a service.
func (opr *Operator) Owner(ctx context.Context, req *controlpb.OwnerRequest) (*controlpb.OwnerAnswer, error) {
	var ans *controlpb.OwnerAnswer
	err := opr.call(ctx, callOptions{}, func(ctx context.Context, cli controlpb.OperatorServiceClient) (err error) {
		ans, err = cli.Owner(ctx, req)
		return err
	})
	return ans, err
}

// Apply submits a configuration; its change id makes it safe to retry.
func (opr *Operator) Apply(ctx context.Context, req *controlpb.ApplyRequest) (*controlpb.ApplyAnswer, error) {
	var ans *controlpb.ApplyAnswer
	wait := time.Duration(req.GetWaitMs()) * time.Millisecond
	err := opr.call(ctx, callOptions{extraTime: wait}, func(ctx context.Context, cli controlpb.OperatorServiceClient) (err error) {
		ans, err = cli.Apply(ctx, req)
		return err
	})
	return ans, err
}

// Drain starts or undoes the drain of an upstream.
func (opr *Operator) Drain(ctx context.Context, req *controlpb.DrainRequest) (*controlpb.DrainAnswer, error) {
	var ans *controlpb.DrainAnswer
	err := opr.call(ctx, callOptions{}, func(ctx context.Context, cli controlpb.OperatorServiceClient) (err error) {
		ans, err = cli.Drain(ctx, req)
		return err
	})
	return ans, err
}

// DrainZone starts or ends the drain of a zone; an order that is sent again has no further effect.
func (opr *Operator) DrainZone(ctx context.Context, req *controlpb.DrainZoneRequest) (*controlpb.DrainZoneAnswer, error) {
	var ans *controlpb.DrainZoneAnswer
	err := opr.call(ctx, callOptions{}, func(ctx context.Context, cli controlpb.OperatorServiceClient) (err error) {
		ans, err = cli.DrainZone(ctx, req)
		return err
	})
	return ans, err
}

// Release ends the quarantine of a request; an order that is sent again has no further effect.
func (opr *Operator) Release(ctx context.Context, req *controlpb.ReleaseRequest) (*controlpb.ReleaseAnswer, error) {
	var ans *controlpb.ReleaseAnswer
	err := opr.call(ctx, callOptions{}, func(ctx context.Context, cli controlpb.OperatorServiceClient) (err error) {
		ans, err = cli.Release(ctx, req)
		return err
	})
	return ans, err
}

// ChangeMembers changes the membership of the control group and waits until a new member has caught up.
func (opr *Operator) ChangeMembers(ctx context.Context, req *controlpb.MembersRequest) (*controlpb.MembersAnswer, error) {
	var ans *controlpb.MembersAnswer
	err := opr.call(ctx, callOptions{extraTime: catchUpTimeout, atMostOnce: true}, func(ctx context.Context, cli controlpb.OperatorServiceClient) (err error) {
		ans, err = cli.ChangeMembers(ctx, req)
		return err
	})
	return ans, err
}

// catchUpTimeout is how long a new member may take to catch up with the log before the call ends.
const catchUpTimeout = time.Minute

// callOptions are the timeout and the retry rule of a call.
type callOptions struct {
	extraTime  time.Duration // added to the timeouts, for a call that waits for its effect
	atMostOnce bool          // not retried if its outcome is unknown, because the second answer would be misleading
}

// NoLeaderError means that no control process answered as the leader within the time for the search.
type NoLeaderError struct {
	last string
}

// Error names the control process that was called last and its answer.
func (nle *NoLeaderError) Error() string {
	return "no control leader answered; the last answer was " + nle.last
}

// call runs fn against the leader, which it searches for among the known control addresses.
func (opr *Operator) call(ctx context.Context, opt callOptions, fn func(context.Context, controlpb.OperatorServiceClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, opt.extraTime+findTimeout)
	defer cancel()
	last := "no control address is known"
	for {
		for _, adr := range opr.candidates() {
			err := opr.attempt(ctx, adr, opt.extraTime, fn)
			if err == nil || !opt.retryable(err) {
				return err
			}
			last = adr + ": " + errorText(err)
			if opr.followRedirect(adr, err) {
				break
			}
		}
		select {
		case <-ctx.Done():
			return &NoLeaderError{last: last}
		case <-time.After(findRetryInterval):
		}
	}
}

func (opr *Operator) attempt(ctx context.Context, adr string, extra time.Duration, fn func(context.Context, controlpb.OperatorServiceClient) error) error {
	con, err := opr.conn(adr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, extra+attemptTimeout)
	defer cancel()
	err = fn(ctx, controlpb.NewOperatorServiceClient(con))
	if err == nil {
		opr.setLeader(adr)
	}
	return err
}

// errorText returns the error of one control process as text for an operator.
func errorText(err error) string {
	if redirect(err) != nil && redirectAddress(err) == "" {
		return "no leader is known"
	}
	return status.Convert(err).Message()
}

// retryable reports whether the call may be sent to another control process after this error.
func (opt callOptions) retryable(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable:
		// gRPC uses this message if the connection could not be established, so that no request was sent.
		return !opt.atMostOnce || strings.HasPrefix(status.Convert(err).Message(), "connection error")
	case codes.DeadlineExceeded:
		return !opt.atMostOnce
	case codes.FailedPrecondition:
		return redirect(err) != nil
	default:
		return false
	}
}

// redirect returns the error detail of a control process that does not lead, or nil for any other error.
func redirect(err error) *controlpb.Redirect {
	for _, det := range status.Convert(err).Details() {
		if red, isRed := det.(*controlpb.Redirect); isRed {
			return red
		}
	}
	return nil
}

// redirectAddress returns the IP:port of the leader that an error names, or an empty string.
func redirectAddress(err error) string { return redirect(err).GetLeaderAddress() }

// followRedirect stores the leader that an error names, and reports whether it is another process.
func (opr *Operator) followRedirect(adr string, err error) bool {
	to := redirectAddress(err)
	opr.setLeader(to)
	return to != "" && to != adr
}

func (opr *Operator) setLeader(adr string) {
	opr.mutex.Lock()
	defer opr.mutex.Unlock()
	opr.leader = adr
}

// candidates returns the addresses to call, with the last known leader first.
func (opr *Operator) candidates() []string {
	opr.mutex.Lock()
	defer opr.mutex.Unlock()
	var out []string
	if opr.leader != "" {
		out = append(out, opr.leader)
	}
	for _, adr := range opr.addresses {
		if adr != opr.leader {
			out = append(out, adr)
		}
	}
	return out
}

// addMembers adds the addresses of members that joined after the process read its settings.
func (opr *Operator) addMembers(mbs []*controlpb.MemberStatus) {
	opr.mutex.Lock()
	defer opr.mutex.Unlock()
	for _, mbr := range mbs {
		adr := mbr.GetMember().GetAddress()
		known := adr == ""
		for _, old := range opr.addresses {
			known = known || old == adr
		}
		if !known {
			opr.addresses = append(opr.addresses, adr)
		}
	}
}

func (opr *Operator) conn(adr string) (*grpc.ClientConn, error) {
	opr.mutex.Lock()
	defer opr.mutex.Unlock()
	if con := opr.conns[adr]; con != nil {
		return con, nil
	}
	con, err := grpc.NewClient("passthrough:///"+adr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, errors.Wrap(err, "connect to control")
	}
	opr.conns[adr] = con
	return con, nil
}
