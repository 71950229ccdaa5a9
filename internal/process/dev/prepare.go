package dev

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
	"github.com/siskinrill/siskinrill/internal/config/file"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// readyTimeout limits the time until the deployment is ready, which is usually about a second.
	readyTimeout = 15 * time.Second
	// readyPoll is the interval at which readiness is checked.
	readyPoll = 25 * time.Millisecond
)

// prepare applies the configuration, calls ready once all services are served, and returns when the context ends.
func (prc *Process) prepare(ctx context.Context, ready func()) error {
	opr := adminhttp.NewOperator(prc.controlAddress)
	defer opr.Close()
	wait, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	// The configuration is applied once all upstreams are registered, so that the first grants are spread over all of them.
	err := prc.retry(wait, prc.checkAgents)
	if err == nil {
		err = prc.retry(wait, func() error { return prc.apply(wait, opr) })
	}
	if err == nil {
		err = prc.retry(wait, func() error { return prc.checkServing(wait, opr) })
	}
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "start")
	}
	ready()
	<-ctx.Done()
	return nil
}

// retry calls fn until it returns nil; if the context ends first, it returns the last error of fn.
func (prc *Process) retry(ctx context.Context, fn func() error) error {
	for {
		err := fn()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readyPoll):
		}
	}
}

func (prc *Process) apply(ctx context.Context, opr *adminhttp.Operator) error {
	cur, err := opr.Show(ctx)
	if err != nil {
		return err
	}
	if file.Difference(cur.GetConfiguration(), prc.config) == "" {
		return nil
	}
	prc.config.Number = cur.GetConfiguration().GetNumber() + 1
	ans, err := opr.Apply(ctx, &controlpb.ApplyRequest{ChangeId: uuid.NewString(), Configuration: prc.config, Operator: "dev"})
	if err != nil {
		return err
	}
	if !ans.GetRecord().GetAccepted() {
		return errors.Errorf("configuration refused: %s", ans.GetRecord().GetReason())
	}
	return nil
}

// checkAgents returns an error while an agent lacks a lease or its backend server.
func (prc *Process) checkAgents() error {
	for _, agt := range prc.agents {
		if err := agt.Ready(); err != nil {
			return err
		}
	}
	return nil
}

// checkServing returns an error while a partition has no owner, or an agent has not applied the last committed log entry.
func (prc *Process) checkServing(ctx context.Context, opr *adminhttp.Operator) error {
	sta, err := opr.Status(ctx)
	if err != nil {
		return err
	}
	for _, svc := range sta.GetServices() {
		if svc.GetOrphans() > 0 {
			return errors.Errorf("service %s has %d partitions without an owner", svc.GetService(), svc.GetOrphans())
		}
	}
	for _, ups := range sta.GetUpstreams() {
		if ups.GetVersion() < sta.GetCommit() {
			return errors.Errorf("agent %s has not applied the last committed log entry", ups.GetNode().GetName())
		}
	}
	return nil
}
