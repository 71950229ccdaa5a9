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
	"github.com/siskinrill/siskinrill/internal/host/egress"
	"github.com/siskinrill/siskinrill/internal/process/actor"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

const (
	// callerGrace is the minimum time that requests of callers have to finish at a stop.
	callerGrace = 500 * time.Millisecond
	// serverGrace is the time that requests to the other HTTP servers have to finish at a stop.
	serverGrace = 200 * time.Millisecond
	// peerGrace is the time that calls of other agents have to finish at a stop.
	peerGrace = 200 * time.Millisecond
	// maxLease is the upper limit of leases and renewal intervals, so high that control decides on their actual length.
	maxLease = time.Minute
)

// Options configures an agent process.
type Options struct {
	Settings settings.Agent
	Callers  net.Listener // for callers, opened at Settings.CallerListen when nil
	Peers    net.Listener // for other agents, opened at Settings.PeerListen when nil
	Backend  net.Listener // for announcements, opened at Settings.BackendListen when nil
	Admin    net.Listener // for the admin API, opened at Settings.Admin.Listen when nil
	Logger   *logrus.Logger
	// RequestIDHeader names the header with the caller's id of a request, X-Request-Id by default.
	RequestIDHeader string
	// Translate and Transport, when set, translate the headers of callers' requests and of requests to the backend server.
	Translate func(next http.Handler) http.Handler
	Transport func(pool http.RoundTripper) http.RoundTripper
	// Grants builds the requests that grant keys to the backend server; by default they have the format of this project.
	Grants siskinrill.GrantCalls
	// Extra returns additional HTTP servers, which may call the agent that is passed to it.
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
	callers     http.Handler // the entry, wrapped in trackRequests and Options.Translate
	operator    *adminhttp.Operator
	admin       *adminhttp.Handler
	stopping    atomic.Bool
	lastRequest atomic.Int64 // arrival of the last request of a caller, in Unix nanoseconds
	inFlight    atomic.Int64 // number of callers' requests without an answer
	extra       []actor.Server
}

// Announce processes an announcement of the backend server and returns the answer; an error is a
// *backend.AnnouncementError or a *backend.UnconfirmedError.
func (prc *Process) Announce(ctx context.Context, ann *backend.Announcement) (backend.AnnouncementAnswer, error) {
	return prc.backend.Announce(ctx, ann)
}

// MarkLeaving records that the backend server of an id is leaving, in all of its starts up to an incarnation; the error is a
// *backend.UnconfirmedError.
func (prc *Process) MarkLeaving(ctx context.Context, id string, upTo uint64) error {
	return prc.backend.MarkLeaving(ctx, id, upTo)
}

// ReadyForCallers returns an error while callers should use another agent, because this one is stopping or has no valid
// configuration.
func (prc *Process) ReadyForCallers() error {
	if prc.stopping.Load() {
		return errors.New("the agent stops")
	}
	if !prc.session.Fresh() || prc.session.Version() == 0 {
		return errors.New("no configuration is known")
	}
	return nil
}

// embeddedSession renames the session type for embedding, since Session is also the name of one of its methods.
type embeddedSession = control.Session

// ownerSession is the session for the owner, where the upstream also drains while the backend server is leaving. Control is
// informed by the state of the upstream, which ends when the server returns, unlike a drain that the agent requests.
type ownerSession struct {
	*embeddedSession
	backend *backend.Client
}

// Draining reports whether the upstream is being drained, at the request of the agent, an operator or the backend server.
// Control may know of the latter from the agent process before this one.
func (gua ownerSession) Draining() bool {
	return gua.embeddedSession.Draining() || gua.backend.State() == controlpb.UpstreamState_UPSTREAM_STATE_DRAINING ||
		gua.Node(gua.Session()).GetUpstream().GetLeaving()
}

// canonicalHeaders returns the canonical names of the headers that tell callers apart.
func canonicalHeaders(names []string) []string {
	if names == nil {
		return []string{"Authorization"}
	}
	var out []string
	for _, name := range names {
		out = append(out, http.CanonicalHeaderKey(name))
	}
	return out
}

// New assembles an agent and opens its listeners.
func New(opt Options) (*Process, error) {
	if err := opt.listen(); err != nil {
		return nil, err
	}
	prc := &Process{options: opt, counters: siskinrill.NewCounters()}
	set := opt.Settings
	callerHeaders := canonicalHeaders(set.CallerHeaders)
	prc.session = control.New(control.Options{
		Node: newNode(opt), Control: set.Control, Logger: opt.Logger, Counters: prc.counters,
		Lease: maxLease, Renew: maxLease, Freshness: set.Freshness, Report: set.ReportEvery,
	})
	prc.pool = peer.NewPool(peer.Options{Logger: opt.Logger, Counters: prc.counters})
	prc.backend = backend.New(backend.Options{
		OnUpstream: prc.session.SetUpstream, Draining: prc.session.Draining,
		OnCrash: prc.session.ReportCrash, CallerHeaders: callerHeaders,
		MayStop: func() bool { return prc.owner.Idle() },
		Owned:   prc.session.Owned, Lease: prc.session.Expires, Service: prc.session.Service, Incoming: prc.session.Incoming,
		Grants: opt.Grants, Transport: opt.Transport, MaxIdle: set.BackendIdle, AnnounceEvery: set.AnnounceEvery, MaxRanges: int(set.MaxRanges), Unframed: set.Unframed,
		NamedAttempts: set.NamedAttempts, ExpectedService: set.Service,
		Registered: func() *controlpb.Upstream { return prc.session.Node(prc.session.Session()).GetUpstream() },
	}, prc.counters)
	ses := ownerSession{embeddedSession: prc.session, backend: prc.backend}
	prc.owner = owner.New(owner.Options{
		Slots: prc.backend.Slots, Warmup: prc.backend.Warmup, Region: set.Region, DrainGrace: set.DrainGrace, CallerHeaders: callerHeaders,
	}, ses, prc.pool, prc.backend, prc.counters)
	prc.session.SetLoadSource(prc.owner)
	prc.server = grpc.NewServer(peer.ServerOptions()...)
	pac := egress.NewPacer(set.LinkMbps)
	peers := peer.NewServer(prc.owner, prc.session)
	peers.SetPacer(pac)
	peers.Register(prc.server)
	hdl := caller.New(caller.Options{
		Logger: opt.Logger, RequestIDHeader: opt.RequestIDHeader, CallerHeaders: callerHeaders, DrainGrace: set.DrainGrace,
		Zone: set.Zone, ZoneSpillover: set.ZoneSpillover, Pacer: pac,
	}, prc.session, prc.pool, prc.owner, prc.counters)
	prc.entry = hdl
	prc.callers = prc.translate(prc.trackRequests(hdl))
	if opt.Extra != nil {
		prc.extra = opt.Extra(prc)
	}
	prc.operator = adminhttp.NewOperator(opt.Settings.Control...)
	prc.admin = adminhttp.New(adminhttp.Options{
		Role: "agent", Name: opt.Settings.Name, Token: opt.Settings.Admin.Token,
		Operator: prc.operator, Counters: prc.counters, Ready: prc.Ready,
		Vars: []map[string]expvar.Var{prc.owner.Vars(), hdl.Vars(), prc.backend.Vars(), prc.vars()},
	})
	return prc, nil
}

// listen opens the listeners that the options do not provide.
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

// trackRequests counts callers' requests.
func (prc *Process) trackRequests(hdl http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		prc.lastRequest.Store(time.Now().UnixNano())
		prc.inFlight.Add(1)
		defer prc.inFlight.Add(-1)
		hdl.ServeHTTP(wri, req)
	})
}

// vars returns the gauges of the session with control.
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

// Ready returns an error while the agent has no lease, is being drained, or has no backend server in service. The drain of
// its zone does not count, since its agents go on accepting callers.
func (prc *Process) Ready() error {
	if _, valid := prc.session.Expires(); !valid {
		return errors.New("no lease from control")
	}
	if prc.session.DrainingAlone() {
		return errors.New("the upstream drains")
	}
	ups := prc.session.Node(prc.session.Session()).GetUpstream()
	if ups.GetState() != controlpb.UpstreamState_UPSTREAM_STATE_SERVING {
		return errors.New("no backend server is in service")
	}
	return nil
}

// Run serves until the context ends and then drains; it returns nil after a planned stop.
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
	// At this point callers' requests have been answered. The other servers stop after the one for callers, and all at the
	// same time, since the host may soon kill the process.
	actor.HTTP(&grp, callerGrace, prc.callerServer())
	others := []actor.Server{{Listener: prc.options.Backend, Handler: prc.backend.Handler()}, {Listener: prc.options.Admin, Handler: prc.admin}}
	others = append(others, prc.extra...)
	for num := range others {
		others[num].Event = prc.counters.Event
		others[num].Limits.Connections = prc.options.Settings.Resources().OtherConnections()
	}
	actor.HTTP(&grp, serverGrace, others...)
	actor.GRPC(&grp, peerGrace, prc.options.Peers, prc.server)
	actor.Loop(&grp, prc.owner.Run)
	actor.Loop(&grp, prc.backend.Run)
	actor.Loop(&grp, prc.session.Run)
	err := grp.Run()
	prc.options.Logger.WithField("name", set.Name).Info("agent: Stopped.")
	return err
}

// Requests returns the number of callers' requests that are not answered yet.
func (prc *Process) Requests() int { return int(prc.inFlight.Load()) }

// CurrentLoad returns the numbers of requests that run at the backend server and that wait for it.
func (prc *Process) CurrentLoad() *peerpb.OwnerLoad { return prc.owner.CurrentLoad() }
