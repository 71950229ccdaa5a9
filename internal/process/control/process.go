package control

import (
	"context"
	"expvar"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill"
	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/control/agent"
	"github.com/siskinrill/siskinrill/internal/control/assign"
	"github.com/siskinrill/siskinrill/internal/control/member"
	"github.com/siskinrill/siskinrill/internal/control/operator"
	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/host/ingress"
	"github.com/siskinrill/siskinrill/internal/process/actor"
)

// percent converts settings in percent to shares.
const percent = 100

// operatorGrace is the time that operators' requests have to finish at a stop; a request waits up to a second for its commit,
// and longer if it is large.
const operatorGrace = 2 * time.Second

// Options configures a control process.
type Options struct {
	Settings settings.Control
	Listener net.Listener // for gRPC, opened at Settings.Listen when nil
	Admin    net.Listener // for the admin API, opened at Settings.Admin.Listen when nil
	Logger   *logrus.Logger
	// Extra returns additional HTTP servers, which may call the operator that is passed to it.
	Extra func(opr *adminhttp.Operator) []actor.Server
}

// Process is a control process with all its parts.
type Process struct {
	options  Options
	counters *siskinrill.Counters
	group    *member.Group
	sessions *agent.Sessions
	server   *grpc.Server
	operator *adminhttp.Operator
	handler  *adminhttp.Handler
	extra    []actor.Server
}

// New assembles a control process and opens its data directory and listeners; an error may be a *wal.DamageError or a
// *wal.LockedError.
func New(opt Options) (*Process, error) {
	reg := registry.New()
	grp, err := member.New(member.Options{
		Name: opt.Settings.Name, Address: opt.Settings.Listen, DataDir: opt.Settings.Data,
		InitialMembers: initialPeers(opt.Settings), Registry: reg, Logger: opt.Logger,
		Seeds: opt.Settings.Seeds, Bootstrap: opt.Settings.Bootstrap, Voters: int(opt.Settings.Voters),
	})
	if err != nil {
		return nil, errors.Wrap(err, "open data directory")
	}
	if err := opt.listen(); err != nil {
		return nil, err
	}
	prc := &Process{options: opt, group: grp, counters: siskinrill.NewCounters()}
	ses := agent.LeaseOptions(opt.Settings.Lease)
	ses.Smoothing = opt.Settings.Smoothing
	prc.sessions = agent.New(ses, grp, reg, assign.New(policyLimits(opt.Settings)))
	prc.server = grpc.NewServer(append(ingress.ServerOptions(), grpc.MaxRecvMsgSize(member.MaxMessageBytes))...)
	grp.Register(prc.server)
	prc.sessions.Register(prc.server)
	operator.New(grp, reg, prc.sessions).Register(prc.server)
	prc.operator = adminhttp.NewOperator(append([]string{opt.Settings.Listen}, otherAddresses(opt.Settings)...)...)
	if opt.Extra != nil {
		prc.extra = opt.Extra(prc.operator)
	}
	prc.handler = adminhttp.New(adminhttp.Options{
		Role: "control", Name: opt.Settings.Name, Token: opt.Settings.Admin.Token,
		Operator: prc.operator, Counters: prc.counters, Ready: prc.Ready,
		Vars: []map[string]expvar.Var{gauges(grp, reg)},
	})
	return prc, nil
}

// policyLimits returns the limits of the assignment policy; its times are multiples of the smoothing of load figures.
func policyLimits(set settings.Control) assign.Limits {
	lim := assign.Limits{
		Settle: set.Settle, BySpeed: set.BySpeed,
		BalanceFrom: float64(set.BalanceFrom) / percent, FillShare: float64(set.FillShare) / percent,
	}
	if smo := set.Smoothing; smo > 0 {
		lim.Window, lim.HighFor, lim.MoveCooldown = 2*smo, smo/2, 6*smo
	}
	return lim
}

func (opt *Options) listen() (err error) {
	if opt.Listener == nil {
		if opt.Listener, err = actor.Listen(opt.Settings.Listen, opt.Admin); err != nil {
			return err
		}
	}
	if opt.Admin == nil {
		opt.Admin, err = actor.Listen(opt.Settings.Admin.Listen, opt.Listener)
	}
	return err
}

func initialPeers(set settings.Control) []member.Peer {
	var out []member.Peer
	for _, nam := range set.MemberOrder {
		out = append(out, member.Peer{Name: nam, Address: set.InitialMembers[nam]})
	}
	return out
}

func otherAddresses(set settings.Control) []string {
	var out []string
	for _, nam := range set.MemberOrder {
		if nam != set.Name {
			out = append(out, set.InitialMembers[nam])
		}
	}
	for _, adr := range set.Seeds {
		if adr != set.Listen {
			out = append(out, adr)
		}
	}
	return out
}

// gauges returns the gauges of the replicated log and the registry.
func gauges(grp *member.Group, reg *registry.Registry) map[string]expvar.Var {
	leadership := func() siskinrill.Leadership {
		ldr, _ := grp.Leadership()
		return ldr
	}
	return map[string]expvar.Var{
		"control_term":             expvar.Func(func() any { return leadership().Term() }),
		"control_leading":          expvar.Func(func() any { return leadership().Leading() }),
		"control_leader":           expvar.Func(func() any { return leadership().Address() }),
		"control_applied":          expvar.Func(func() any { return reg.Index() }),
		"control_disk_full":        expvar.Func(func() any { return grp.DiskFull() }),
		"control_slowest_store_ms": expvar.Func(func() any { return grp.SlowestStore().Milliseconds() }),
	}
}

// Ready returns an error while no leader is known.
func (prc *Process) Ready() error {
	ldr, _ := prc.group.Leadership()
	if ldr.Address() == "" {
		return errors.New("no control leader is known")
	}
	return nil
}

// Run serves until the context ends and then transfers leadership; it returns nil after a planned stop.
func (prc *Process) Run(ctx context.Context) error {
	defer prc.operator.Close()
	prc.options.Logger.WithFields(logrus.Fields{
		"name": prc.options.Settings.Name, "zone": prc.options.Settings.Zone, "data": prc.options.Settings.Data,
		"listen": prc.options.Listener.Addr().String(), "admin": prc.options.Admin.Addr().String(),
	}).Info("control: Started.")
	var grp run.Group
	actor.Until(ctx, &grp, prc.stop)
	srvs := append([]actor.Server{{Listener: prc.options.Admin, Handler: prc.handler}}, prc.extra...)
	for num := range srvs {
		srvs[num].Event = prc.counters.Event
		srvs[num].Limits.Connections = prc.options.Settings.Resources().OtherConnections()
	}
	actor.HTTP(&grp, operatorGrace, srvs...)
	actor.Loop(&grp, prc.sessions.Run)
	actor.Loop(&grp, prc.group.Run)
	actor.GRPC(&grp, 0, prc.options.Listener, prc.server)
	err := grp.Run()
	prc.options.Logger.WithField("name", prc.options.Settings.Name).Info("control: Stopped.")
	return err
}

// stop transfers leadership to another member while the other parts of the process still serve.
func (prc *Process) stop() {
	prc.options.Logger.WithField("name", prc.options.Settings.Name).Info("control: Stopping.")
	ctx, cancel := context.WithTimeout(context.Background(), prc.options.Settings.StopTimeout)
	defer cancel()
	if err := prc.group.Stop(ctx); err != nil {
		prc.options.Logger.WithError(err).Warn("control: The transfer of leadership failed.")
	}
}
