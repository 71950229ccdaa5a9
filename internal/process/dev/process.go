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
	// anyPort is a loopback address whose port is chosen by the operating system.
	anyPort = "127.0.0.1:0"
	// controlName is the name of the control process, which is the only one.
	controlName = "control-1"
	// addressFile is the file of the data directory with the address of the control process. The address must not change,
	// because the log stores it as that of the member.
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

// Process is a deployment whose parts all run in one process.
type Process struct {
	options        Options
	config         *controlpb.Configuration
	temporaryDir   string // data directory to be removed at the end, empty if Options.Data is set
	control        *control.Process
	agents         []*agent.Process
	standins       []*standin.Process
	listen         string
	admin          string
	controlAddress string   // IP:port of the control process
	admins         []string // admin addresses, of the control process first
}

// New reads the configuration and opens all listeners; the error for an invalid configuration is a *source.ProblemsError.
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
			return nil, errors.Wrap(err, "create data directory")
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

// Admins returns the IP:port of the admin APIs of the control process and all agents, in this order.
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

// openListeners opens a listener for each address; on an error it closes those that are already open.
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
		return errors.Wrap(err, "store the address of the control process")
	}
	return nil
}

// storedControlAddress returns the address with which the data directory was last used, or anyPort if it is new.
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
	// All agents stop at the same time, so that no key can be moved and a drain would not end before its timeout.
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

// Run serves until the context ends; it calls ready once the configuration is in force and all partitions have an owner.
func (prc *Process) Run(ctx context.Context, ready func()) error {
	defer prc.removeTemporaryDir()
	var grp run.Group
	// The agents stop first, so that all parts that requests in flight need are still running.
	actor.Loop(&grp, func(end context.Context) error { return prc.runAgents(ctx, end) })
	actor.Loop(&grp, prc.control.Run)
	for _, std := range prc.standins {
		actor.Loop(&grp, std.Run)
	}
	actor.Loop(&grp, func(ctx context.Context) error { return prc.prepare(ctx, ready) })
	return grp.Run()
}

// runAgents runs the agents until one of the contexts ends, and returns when all of them have stopped.
func (prc *Process) runAgents(ctx, end context.Context) error {
	var grp run.Group
	actor.Until(ctx, &grp, func() {})
	actor.Until(end, &grp, func() {})
	for _, agt := range prc.agents {
		actor.Loop(&grp, agt.Run)
	}
	return grp.Run()
}
