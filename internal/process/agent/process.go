package agent

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill"
	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
	"github.com/siskinrill/siskinrill/internal/agent/backend"
	"github.com/siskinrill/siskinrill/internal/agent/caller"
	"github.com/siskinrill/siskinrill/internal/agent/control"
	"github.com/siskinrill/siskinrill/internal/agent/owner"
	"github.com/siskinrill/siskinrill/internal/agent/peer"
	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/process/actor"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

const (
	// callerGrace is how long requests of callers have to finish at a stop at least.
	callerGrace = 500 * time.Millisecond
	// serverGrace is how long requests to the other listeners have to finish at a stop.
	serverGrace = 200 * time.Millisecond
	// peerGrace is how long the last answers to other agents may take.
	peerGrace = 200 * time.Millisecond
	// maxLease lets control decide on the length of leases.
	maxLease = time.Minute
)

// Options configures an agent.
type Options struct {
	Settings settings.Agent
	Callers  net.Listener // for callers, opened at Settings.CallerListen when nil
	Peers    net.Listener // for other agents, opened at Settings.PeerListen when nil
	Backend  net.Listener // for announcements, opened at Settings.BackendListen when nil
	Admin    net.Listener // for the admin API, opened at Settings.Admin.Listen when nil
	Logger   *logrus.Logger
	// RequestIDHeader names the header with the caller's id of a request, X-Request-Id by default.
	RequestIDHeader string
	// Callers' requests and those to the backend server pass these when set, to translate headers.
	Translate func(next http.Handler) http.Handler
	Transport func(pool http.RoundTripper) http.RoundTripper
	// Grants writes the calls that grant keys to the backend server, the product's own by default.
	Grants siskinrill.GrantCalls
	// Extra are further HTTP servers, which may call the agent that they are given.
	Extra func(prc *Process) []actor.Server
}

// Process is an assembled agent.
type Process struct {
	options     Options
	counters    *siskinrill.Counters
	session     *control.Session
	pool        *peer.Pool
	backend     *backend.Client
	owner       *owner.Owner
	server      *grpc.Server
	entry       *caller.Handler
	callers     http.Handler // the entry with what goes before it
	operator    *adminhttp.Operator
	admin       *adminhttp.Handler
	stopping    atomic.Bool
	lastRequest atomic.Int64 // Unix time in nanoseconds of the last request of a caller
	inFlight    atomic.Int64 // requests of callers
	extra       []actor.Server
}

// Announce takes an announcement of the backend server over and returns the answer to it; an error is a *backend.AnnouncementError.
func (prc *Process) Announce(ctx context.Context, ann *backend.Announcement) (backend.Standing, error) {
	return prc.backend.Announce(ctx, ann)
}

// Leave takes over that the backend server of an id has left.
func (prc *Process) Leave(id string) { prc.backend.Leave(id) }

// TakesCallers returns an error while callers are better sent elsewhere: the agent stops, or knows no configuration in force.
func (prc *Process) TakesCallers() error {
	if prc.stopping.Load() {
		return errors.New("the agent stops")
	}
	if !prc.session.Fresh() || prc.session.Version() == 0 {
		return errors.New("no configuration is known")
	}
	return nil
}

// embeddedSession names the embedded session, whose own name is that of one of its methods.
type embeddedSession = control.Session

// ownerSession is the session as the owner sees it: a backend server that is leaving drains too. Control learns of that by the upstream's state, which ends when the server is back, unlike the agent's own wish to drain.
type ownerSession struct {
	*embeddedSession
	backend *backend.Client
}

// Draining reports whether the upstream drains, by the agent's, an operator's or the backend server's wish.
func (gua ownerSession) Draining() bool {
	return gua.embeddedSession.Draining() || gua.backend.State() == controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
}

// New opens the listeners.
func New(opt Options) (*Process, error) {
	if err := opt.listen(); err != nil {
		return nil, err
	}
	prc := &Process{options: opt, counters: siskinrill.NewCounters()}
	set := opt.Settings
	prc.session = control.New(control.Options{
		Node: newNode(opt), Control: set.Control, Logger: opt.Logger, Counters: prc.counters,
		Lease: maxLease, Renew: maxLease, Freshness: set.Freshness, Report: set.ReportEvery,
	})
	prc.pool = peer.NewPool(peer.Options{Logger: opt.Logger, Counters: prc.counters})
	prc.backend = backend.New(backend.Options{
		OnUpstream: prc.session.SetUpstream, Draining: prc.session.Draining,
		MayStop: func() bool { return prc.owner.Idle() },
		Owned:   prc.session.Owned, Lease: prc.session.Expires, Service: prc.session.Service, Incoming: prc.session.Incoming,
		Grants: opt.Grants, Transport: opt.Transport, MaxIdle: set.BackendIdle, MaxRanges: int(set.MaxRanges), Unframed: set.Unframed,
	}, prc.counters)
	ses := ownerSession{embeddedSession: prc.session, backend: prc.backend}
	prc.owner = owner.New(owner.Options{Slots: prc.backend.Slots, Warmup: prc.backend.Warmup, DrainGrace: set.DrainGrace}, ses, prc.pool, prc.backend, prc.counters)
	prc.session.SetLoadSource(prc.owner)
	prc.server = grpc.NewServer(peer.ServerOptions()...)
	peer.NewServer(prc.owner, prc.session).Register(prc.server)
	hdl := caller.New(caller.Options{Logger: opt.Logger, RequestIDHeader: opt.RequestIDHeader}, prc.session, prc.pool, prc.owner, prc.counters)
	prc.entry = hdl
	prc.callers = prc.trackRequests(hdl)
	if opt.Translate != nil {
		prc.callers = opt.Translate(prc.callers)
	}
	if opt.Extra != nil {
		prc.extra = opt.Extra(prc)
	}
	prc.operator = adminhttp.NewOperator(opt.Settings.Control...)
	prc.admin = adminhttp.New(adminhttp.Options{
		Role: "agent", Name: opt.Settings.Name, Token: opt.Settings.Admin.Token,
		Operator: prc.operator, Counters: prc.counters, Ready: prc.Ready,
		Vars: []map[string]expvar.Var{prc.owner.Vars(), prc.backend.Vars(), prc.vars()},
	})
	return prc, nil
}

// listen opens the listeners that were not given.
func (opt *Options) listen() error {
	for _, itm := range []struct {
		lis *net.Listener
		adr string
	}{
		{&opt.Callers, opt.Settings.CallerListen},
		{&opt.Peers, opt.Settings.PeerListen},
		{&opt.Backend, opt.Settings.BackendListen},
		{&opt.Admin, opt.Settings.Admin.Listen},
	} {
		if *itm.lis != nil {
			continue
		}
		lis, err := actor.Listen(itm.adr, opt.Callers, opt.Peers, opt.Backend, opt.Admin)
		if err != nil {
			return err
		}
		*itm.lis = lis
	}
	return nil
}

func newNode(opt Options) *controlpb.Node {
	return &controlpb.Node{
		Name: opt.Settings.Name, Zone: opt.Settings.Zone, Region: opt.Settings.Region,
		PeerAddress: opt.Peers.Addr().String(), CallerAddress: opt.Callers.Addr().String(),
		AdminAddress: opt.Admin.Addr().String(),
	}
}

// trackRequests asks callers to close their connections once the agent stops, so that few requests meet a closing one.
func (prc *Process) trackRequests(hdl http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		prc.lastRequest.Store(time.Now().UnixNano())
		prc.inFlight.Add(1)
		defer prc.inFlight.Add(-1)
		if prc.stopping.Load() {
			wri.Header().Set("Connection", "close")
		}
		hdl.ServeHTTP(wri, req)
	})
}

// vars returns gauges of the session.
func (prc *Process) vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"session":         expvar.Func(func() any { return prc.session.Session() }),
		"session_version": expvar.Func(func() any { return prc.session.Version() }),
		"session_fresh":   expvar.Func(func() any { return prc.session.Fresh() }),
		"lease_left_ms":   expvar.Func(func() any { return prc.remainingLease().Milliseconds() }),
	}
}

func (prc *Process) remainingLease() time.Duration {
	end, valid := prc.session.Expires()
	if !valid {
		return 0
	}
	return time.Until(end)
}

// Ready returns an error while the agent has no lease or no backend server in service.
func (prc *Process) Ready() error {
	if _, valid := prc.session.Expires(); !valid {
		return errors.New("no lease from control")
	}
	if prc.session.Draining() {
		return errors.New("the upstream drains")
	}
	ups := prc.session.Node(prc.session.Session()).GetUpstream()
	if ups.GetState() != controlpb.UpstreamState_UPSTREAM_STATE_SERVING {
		return errors.New("no backend server is in service")
	}
	return nil
}

// Run serves until the context ends, then drains; it returns nil after a planned stop.
func (prc *Process) Run(ctx context.Context) error {
	defer prc.operator.Close()
	defer prc.pool.Close()
	set := prc.options.Settings
	prc.options.Logger.WithFields(logrus.Fields{
		"name": set.Name, "zone": set.Zone, "callers": prc.options.Callers.Addr().String(),
		"peers": prc.options.Peers.Addr().String(), "backend": prc.options.Backend.Addr().String(),
		"admin": prc.options.Admin.Addr().String(),
	}).Info("agent: Started.")
	var grp run.Group
	actor.Until(ctx, &grp, prc.drain)
	// Callers' requests have their answers by now; the other servers stop after that of callers, and together, since the host may kill the process soon.
	actor.HTTP(&grp, callerGrace, actor.Server{Listener: prc.options.Callers, Handler: prc.callers})
	others := []actor.Server{{Listener: prc.options.Backend, Handler: prc.backend.Handler()}, {Listener: prc.options.Admin, Handler: prc.admin}}
	actor.HTTP(&grp, serverGrace, append(others, prc.extra...)...)
	actor.GRPC(&grp, peerGrace, prc.options.Peers, prc.server)
	actor.Loop(&grp, prc.owner.Run)
	actor.Loop(&grp, prc.backend.Run)
	actor.Loop(&grp, prc.session.Run)
	err := grp.Run()
	prc.options.Logger.WithField("name", set.Name).Info("agent: Stopped.")
	return err
}

// Requests returns the number of callers' requests that have no answer yet.
func (prc *Process) Requests() int { return int(prc.inFlight.Load()) }

// CurrentLoad returns what this agent runs at its backend server and queues for it.
func (prc *Process) CurrentLoad() *peerpb.OwnerLoad { return prc.owner.InHand() }
