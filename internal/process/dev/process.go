package dev

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/examples"
	"github.com/siskinrill/siskinrill/internal/config/file"
	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/process/actor"
	"github.com/siskinrill/siskinrill/internal/process/agent"
	"github.com/siskinrill/siskinrill/internal/process/control"
	"github.com/siskinrill/siskinrill/internal/process/standin"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// anyPort lets the system choose the port.
	anyPort = "127.0.0.1:0"
	// controlName names the only control process.
	controlName = "control-1"
	// addressFile keeps the address of the control process in a data directory, because the log stores it as the member's address.
	addressFile = "dev_address"
)

// Options configures a dev process.
type Options struct {
	Config string // configuration directory, empty for the built-in example
	Listen string // IP:port for callers
	Admin  string // IP:port of the admin API, loopback unless there is a token
	Token  string // bearer token of the admin API
	Data   string // data directory, empty for a temporary one
	Logger *logrus.Logger
}

// Process is a whole deployment in one process.
type Process struct {
	options        Options
	config         *controlpb.Configuration
	temporaryDir   string // temporary data directory
	control        *control.Process
	agents         []*agent.Process
	standins       []*standin.Process
	listen         string
	admin          string
	controlAddress string   // address of the control process
	admins         []string // of every part, the first agent's first
}

// New reads the configuration and opens every listener; an invalid configuration gives a *source.ProblemsError.
func New(opt Options) (*Process, error) {
	if !settings.Loopback(opt.Admin) && opt.Token == "" {
		return nil, errors.Errorf("admin address %s: one that is not loopback needs a token", opt.Admin)
	}
	cfg, err := loadConfiguration(opt.Config)
	if err != nil {
		return nil, err
	}
	ups, err := upstreams(cfg)
	if err != nil {
		return nil, err
	}
	prc := &Process{options: opt, config: cfg}
	if opt.Data == "" {
		if prc.temporaryDir, err = os.MkdirTemp("", "siskinrill-dev-"); err != nil {
			return nil, errors.Wrap(err, "make data directory")
		}
		prc.options.Data = prc.temporaryDir
	}
	if err := prc.assemble(ups); err != nil {
		prc.removeTemporaryDir()
		return nil, err
	}
	return prc, nil
}

// Listen returns the IP:port for callers.
func (prc *Process) Listen() string { return prc.listen }

// Admin returns the IP:port of the admin API of the agent behind Listen.
func (prc *Process) Admin() string { return prc.admin }

// Admins returns the IP:port of the admin APIs of all parts.
func (prc *Process) Admins() []string { return prc.admins }

func loadConfiguration(dir string) (*controlpb.Configuration, error) {
	if dir != "" {
		return file.Load(dir)
	}
	fsy, err := examples.Config(examples.Rangsudhar)
	if err != nil {
		return nil, err
	}
	return file.LoadFS(fsy)
}

func (prc *Process) assemble(ups []upstream) error {
	if err := prc.addControl(); err != nil {
		return err
	}
	for num, itm := range ups {
		cal, adm := anyPort, anyPort
		if num == 0 {
			cal, adm = prc.options.Listen, prc.options.Admin
		}
		if err := prc.addUpstream(itm, cal, adm); err != nil {
			return err
		}
	}
	return nil
}

// openListeners opens one listener for each address, or none.
func openListeners(adrs ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, adr := range adrs {
		lis, err := actor.Listen(adr, out...)
		if err != nil {
			return nil, err
		}
		out = append(out, lis)
	}
	return out, nil
}

func (prc *Process) addControl() error {
	lst, err := openListeners(prc.storedControlAddress(), anyPort)
	if err != nil {
		return err
	}
	prc.controlAddress = lst[0].Addr().String()
	prc.admins = append(prc.admins, lst[1].Addr().String())
	set := settings.Control{
		Place:  settings.Place{Name: controlName, Zone: "in-west-a", Region: "in-west"},
		Listen: prc.controlAddress, Data: filepath.Join(prc.options.Data, controlName), StopTimeout: time.Second,
		InitialMembers: map[string]string{controlName: prc.controlAddress}, MemberOrder: []string{controlName},
		Admin: settings.Admin{Token: prc.options.Token},
	}
	prc.control, err = control.New(control.Options{Settings: set, Listener: lst[0], Admin: lst[1], Logger: prc.options.Logger})
	if err != nil {
		actor.Close(lst...)
		return err
	}
	if err := os.WriteFile(filepath.Join(prc.options.Data, addressFile), []byte(prc.controlAddress+"\n"), 0o600); err != nil {
		return errors.Wrap(err, "keep the control address")
	}
	return nil
}

// storedControlAddress returns the address that the data directory was used with before, or any.
func (prc *Process) storedControlAddress() string {
	dat, err := os.ReadFile(filepath.Join(prc.options.Data, addressFile))
	if err != nil {
		return anyPort
	}
	return strings.TrimSpace(string(dat))
}

func (prc *Process) addUpstream(ups upstream, cal, adm string) error {
	lst, err := openListeners(cal, adm, anyPort, anyPort)
	if err != nil {
		return err
	}
	set := ups.agent
	// All agents stop at once, so no key can move and a drain would never end.
	set.Control, set.DrainTimeout = []string{prc.controlAddress}, 0
	set.Admin.Token = prc.options.Token
	agt, err := agent.New(agent.Options{
		Settings: set, Callers: lst[0], Admin: lst[1], Peers: lst[2], Backend: lst[3], Logger: prc.options.Logger,
	})
	if err != nil {
		actor.Close(lst...)
		return err
	}
	if len(prc.agents) == 0 {
		prc.listen, prc.admin = lst[0].Addr().String(), lst[1].Addr().String()
	}
	prc.agents = append(prc.agents, agt)
	prc.admins = append(prc.admins, lst[1].Addr().String())
	std := ups.standin
	std.Listen, std.Agent, std.StopTimeout = anyPort, lst[3].Addr().String(), 0
	srv, err := standin.New(standin.Options{Settings: std, Logger: prc.options.Logger})
	if err != nil {
		return err
	}
	prc.standins = append(prc.standins, srv)
	return nil
}

func (prc *Process) removeTemporaryDir() {
	if prc.temporaryDir != "" {
		_ = os.RemoveAll(prc.temporaryDir)
	}
}

// Run serves until the context ends and calls ready once every service has owners and the configuration is in force.
func (prc *Process) Run(ctx context.Context, ready func()) error {
	defer prc.removeTemporaryDir()
	var grp run.Group
	// The agents stop first, so that requests in flight find everything that they need.
	actor.Loop(&grp, func(end context.Context) error { return prc.runAgents(ctx, end) })
	actor.Loop(&grp, prc.control.Run)
	for _, std := range prc.standins {
		actor.Loop(&grp, std.Run)
	}
	actor.Loop(&grp, func(ctx context.Context) error { return prc.prepare(ctx, ready) })
	return grp.Run()
}

// runAgents serves until one of the contexts ends and all agents have stopped.
func (prc *Process) runAgents(ctx, end context.Context) error {
	var grp run.Group
	actor.Until(ctx, &grp, func() {})
	actor.Until(end, &grp, func() {})
	for _, agt := range prc.agents {
		actor.Loop(&grp, agt.Run)
	}
	return grp.Run()
}
