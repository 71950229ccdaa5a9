package standin

import (
	"context"
	"net"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/bench/standin"
	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/process/actor"
)

const (
	// agentPoll is the interval and timeout of the checks that the agent still accepts connections.
	agentPoll = 200 * time.Millisecond
	// maxAgentMisses is the number of consecutive failed checks after which the agent is considered stopped.
	maxAgentMisses = 3
)

// Options configures a stand-in process.
type Options struct {
	Settings settings.Standin
	Logger   *logrus.Logger
}

// Process is a stand-in that announces itself to an agent while it serves.
type Process struct {
	options Options
	server  *standin.Server
}

// New creates a stand-in and opens its listener; port 0 in the address stands for any free port.
func New(opt Options) (*Process, error) {
	set := opt.Settings
	srv, err := standin.New(standin.Options{
		ID: set.ID, Service: set.Service, Listen: set.Listen, Agent: set.Agent,
		Slots: int(set.Slots), Connections: int(set.Connections), CheckFence: set.ChecksFence, NoGrants: !set.Grants, HoldsKeys: set.HoldsKeys, HeartbeatHolds: set.HeartbeatHolds, KeepsSingleKeys: set.KeepsSingleKeys, Numbered: set.Numbered,
		Median: set.ServiceTime, ColdKey: set.ColdKey, ColdTime: set.ColdTime, ColdFactor: float64(set.ColdFactor), Lag: set.HealthLag,
		ColdRate: set.ColdRate, ColdCrash: set.ColdCrash,
		LedgerFile: set.LedgerFile,
	})
	if err != nil {
		return nil, err
	}
	return &Process{options: opt, server: srv}, nil
}

// URL returns the base URL at which the stand-in serves requests.
func (prc *Process) URL() string { return prc.server.URL() }

// Run announces the stand-in and serves until the context ends; it returns nil after a planned stop.
func (prc *Process) Run(ctx context.Context) error {
	set := prc.options.Settings
	log := prc.options.Logger.WithFields(logrus.Fields{"id": set.ID, "service": set.Service, "url": prc.URL()})
	log.Info("standin: Started.")
	var grp run.Group
	actor.Until(ctx, &grp, prc.announceLeave)
	actor.Loop(&grp, prc.server.Run)
	err := grp.Run()
	prc.server.Close()
	log.Info("standin: Stopped.")
	return err
}

// announceLeave announces that the stand-in is leaving, and waits until the agent permits the stop or has stopped itself. A
// stop timeout of 0 disables it.
func (prc *Process) announceLeave() {
	if prc.options.Settings.StopTimeout == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), prc.options.Settings.StopTimeout)
	defer cancel()
	go func() {
		defer cancel()
		prc.watchAgent(ctx)
	}()
	if err := prc.server.Stop(ctx); err != nil {
		prc.options.Logger.WithField("id", prc.options.Settings.ID).Warn("standin: Stopping without the permission of the agent.")
	}
}

// watchAgent returns once the agent no longer accepts connections, or the context ends.
func (prc *Process) watchAgent(ctx context.Context) {
	for mss := 0; mss < maxAgentMisses; {
		con, err := net.DialTimeout("tcp", prc.options.Settings.Agent, agentPoll)
		mss++
		if err == nil {
			_ = con.Close()
			mss = 0
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(agentPoll):
		}
	}
}
