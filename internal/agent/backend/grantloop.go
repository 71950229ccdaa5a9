package backend

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// grantCalls and releaseCalls are how many calls are under way at most; a release lasts as long as the work on its keys.
	grantCalls   = 8
	releaseCalls = 32
	// releaseTimeout is the time after which a release without an answer is sent again.
	releaseTimeout = 600 * time.Millisecond
	// releasePause is the time between two releases of the same rows.
	releasePause = 50 * time.Millisecond
)

// errNoAnswer tells that a call was written and has no usable answer.
var errNoAnswer = errors.New("no answer")

// calls are the calls to the backend server that grant keys and take them back.
type calls struct {
	kicked   chan struct{} // the rows have changed
	grants   chan struct{} // holds an item for each grant under way
	releases chan struct{} // holds an item for each release under way
	running  sync.WaitGroup
}

func newCalls() calls {
	return calls{kicked: make(chan struct{}, 1), grants: make(chan struct{}, grantCalls), releases: make(chan struct{}, releaseCalls)}
}

// kick has the rows looked at at once.
func (cls *calls) kick() {
	select {
	case cls.kicked <- struct{}{}:
	default:
	}
}

// grantLoop grants the rows of this agent to a server that takes its keys from calls, and renews them, until the context ends.
func (cli *Client) grantLoop(ctx context.Context) {
	defer cli.calls.running.Wait()
	tck := time.NewTicker(tickInterval)
	defer tck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-cli.calls.kicked:
		case <-tck.C:
		}
		cli.grantDue(ctx)
	}
}

// grantDue sends the grants that are due.
func (cli *Client) grantDue(ctx context.Context) {
	tgt, ann := cli.announced()
	if tgt == nil || !cli.keys.byCalls() || cli.opt.Owned == nil || cli.opt.Lease == nil {
		return
	}
	svc := cli.opt.Service(ann.Service)
	if !direct(svc) {
		return
	}
	// The rows are read before the lease, as for the answers to heartbeats.
	rows := ownRows(cli.opt.Owned(), ann.Service)
	exp, valid := cli.opt.Lease()
	if !valid {
		return
	}
	for _, gcl := range cli.keys.due(rows, exp, svc.GetPartitions()) {
		cli.calls.running.Go(func() { cli.grant(ctx, tgt, ann, gcl) })
	}
}

// ownRows returns the partitions of a service among rows.
func ownRows(rows []*controlpb.Shard, svc string) []*controlpb.Shard {
	var out []*controlpb.Shard
	for _, row := range rows {
		if row.GetService() == svc && row.GetKey() == "" {
			out = append(out, row)
		}
	}
	return out
}

// announced returns the pools and the announcement of a usable server, nil without one.
func (cli *Client) announced() (*target, *Announcement) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.usable() {
		return nil, nil
	}
	return cli.tgt, cli.ann
}

// grant sends one grant and takes over what became of it.
func (cli *Client) grant(ctx context.Context, tgt *target, ann *Announcement, gcl *grantCall) {
	cli.calls.grants <- struct{}{}
	defer func() { <-cli.calls.grants }()
	ctx, cancel := context.WithDeadline(ctx, gcl.sendBy)
	defer cancel()
	gat := newGate(gcl.sendBy)
	sts, _, err := cli.send(ctx, tgt, gat, func() (*http.Request, error) {
		return cli.opt.Grants.Grant(tgt.base.String(), ann.ID, gcl.keys(), gcl.hold, gcl.rng.Handover)
	})
	started, _ := gat.close()
	switch {
	case !started:
		cli.keys.unsent(gcl)
		cli.undialled(tgt, err)
	case err != nil:
		cli.cnt.Event("grant_unanswered")
		gcl.log(ann).WithField("cause", err.Error()).Warn("backend: A grant has no answer and may be applied late.")
		cli.keys.unanswered(gcl, !errors.Is(err, context.DeadlineExceeded))
	case sts/100 == 2:
		cli.cnt.Event("grant_answered")
		if !gcl.renews {
			gcl.log(ann).Info("backend: Keys are granted.")
		}
		cli.keys.granted(gcl)
	case sts == http.StatusConflict:
		cli.cnt.Event("grant_outranked")
		gcl.log(ann).Warn("backend: The server has seen a higher token for some key of a grant.")
		cli.keys.outranked(gcl)
	default:
		cli.cnt.Event("grant_refused")
		gcl.log(ann).WithField("status", sts).Warn("backend: A grant is refused.")
		cli.keys.unsent(gcl)
	}
}

// log returns a log entry with what decides on a grant.
func (gcl *grantCall) log(ann *Announcement) *logrus.Entry {
	return logrus.WithFields(logrus.Fields{
		"server": ann.ID, "first": gcl.rng.First, "last": gcl.rng.Last, "token": gcl.rng.Token,
		"hold_ms": gcl.hold.Milliseconds(), "age_ms": time.Since(gcl.sendBy.Add(-grantTimeout)).Milliseconds(), "renews": gcl.renews,
	})
}

// undialled marks a server as failed whose port refuses connections; it has ended.
func (cli *Client) undialled(tgt *target, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		cli.fail(tgt, causeRefused)
	}
}

// send sends a call that the gate guards, and returns the status of its answer and what the server left for the next owner of the keys.
func (cli *Client) send(ctx context.Context, tgt *target, gat *gate, build func() (*http.Request, error)) (int, string, error) {
	req, err := build()
	if err != nil {
		return 0, "", err
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(inf httptrace.GotConnInfo) {
		if con, ok := inf.Conn.(*conn); ok {
			con.attach(gat)
		}
	}}))
	res, err := tgt.calls.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	if _, err := io.CopyN(io.Discard, res.Body, wholeAnswer); !errors.Is(err, io.EOF) {
		return 0, "", errNoAnswer
	}
	return res.StatusCode, cli.opt.Grants.Handover(res), nil
}

// releaseKeys takes rows back until they are free or the context ends.
func (cli *Client) releaseKeys(ctx context.Context, refs []*controlpb.ShardRef) {
	for _, run := range neighbours(refs) {
		cli.calls.running.Go(func() { cli.releaseRun(ctx, run) })
	}
}

// releaseRun takes neighbouring rows under one token back.
func (cli *Client) releaseRun(ctx context.Context, refs []*controlpb.ShardRef) {
	for {
		ready, at, changed := cli.keys.withdraw(refs)
		if ready {
			break
		}
		if !await(ctx, changed, at) {
			return
		}
	}
	for ctx.Err() == nil {
		if _, changed := cli.keys.pending(refs); changed == nil || cli.release(ctx, refs) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(releasePause):
		}
	}
}

// release tells the server to give rows back, and reports whether it has.
func (cli *Client) release(ctx context.Context, refs []*controlpb.ShardRef) bool {
	select {
	case cli.calls.releases <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-cli.calls.releases }()
	tgt, ann := cli.announced()
	if tgt == nil {
		return false
	}
	num := cli.opt.Service(ann.Service).GetPartitions()
	fst, _ := siskinrill.KeyRange(refs[0].GetPartition(), num)
	_, lst := siskinrill.KeyRange(refs[len(refs)-1].GetPartition(), num)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	sts, handover, err := cli.send(ctx, tgt, newGate(time.Now().Add(releaseTimeout)), func() (*http.Request, error) {
		return cli.opt.Grants.Release(tgt.base.String(), ann.ID, siskinrill.NewKeyGrant(fst, lst, refs[0].GetToken()))
	})
	log := logrus.WithFields(logrus.Fields{"server": ann.ID, "first": fst, "last": lst, "token": refs[0].GetToken()})
	if err != nil || sts/100 != 2 {
		cli.cnt.Event("release_unanswered")
		log.WithField("status", sts).Warn("backend: A release has no answer.")
		return false
	}
	cli.cnt.Event("release_answered")
	log.WithField("handover", handover != "").Info("backend: Keys are given back.")
	cli.keys.gaveBack(refs, handover)
	return true
}

// neighbours divides references into runs that one call can name.
func neighbours(refs []*controlpb.ShardRef) [][]*controlpb.ShardRef {
	refs = slices.Clone(refs)
	slices.SortFunc(refs, func(one, two *controlpb.ShardRef) int { return cmp.Compare(one.GetPartition(), two.GetPartition()) })
	var out [][]*controlpb.ShardRef
	for pos, ref := range refs {
		if pos > 0 && refs[pos-1].GetPartition()+1 == ref.GetPartition() && refs[pos-1].GetToken() == ref.GetToken() {
			out[len(out)-1] = append(out[len(out)-1], ref)
			continue
		}
		out = append(out, []*controlpb.ShardRef{ref})
	}
	return out
}
