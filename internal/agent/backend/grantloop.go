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
	// maxGrantCalls and releaseCalls are how many calls are under way at most; a release lasts as long as the work on its keys.
	maxGrantCalls   = 8
	maxReleaseCalls = 32
	// releaseTimeout is the time after which a release without an answer is sent again.
	releaseTimeout = 600 * time.Millisecond
	// releasePause is the time between two releases of the same rows.
	releasePause = 50 * time.Millisecond
)

// errNoAnswer tells that a call was written and has no usable answer.
var errNoAnswer = errors.New("no answer")

// calls are the calls to the backend server that grant keys and take them back.
type calls struct {
	triggered    chan struct{} // the rows have changed
	grantSlots   chan struct{} // holds an item for each grant under way
	releaseSlots chan struct{} // holds an item for each release under way
	running      sync.WaitGroup
}

func newCalls() calls {
	return calls{triggered: make(chan struct{}, 1), grantSlots: make(chan struct{}, maxGrantCalls), releaseSlots: make(chan struct{}, maxReleaseCalls)}
}

// trigger has the rows looked at at once.
func (cls *calls) trigger() {
	select {
	case cls.triggered <- struct{}{}:
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
		case <-cli.calls.triggered:
		case <-tck.C:
		}
		cli.sendDueGrants(ctx)
	}
}

// sendDueGrants sends the grants that are due.
func (cli *Client) sendDueGrants(ctx context.Context) {
	tgt, ann := cli.usableServer()
	if tgt == nil || !cli.keys.grantedByCalls() || cli.opt.Owned == nil || cli.opt.Lease == nil {
		return
	}
	svc := cli.opt.Service(ann.Service)
	if !usesDirectGrants(svc) {
		return
	}
	// The rows are read before the lease, as for the answers to heartbeats.
	rows := partitionRows(cli.opt.Owned(), ann.Service)
	exp, valid := cli.opt.Lease()
	if !valid {
		return
	}
	for _, gcl := range cli.keys.dueGrants(rows, exp, svc.GetPartitions()) {
		cli.calls.running.Go(func() { cli.grant(ctx, tgt, ann, gcl) })
	}
}

// partitionRows returns the partitions of a service among rows.
func partitionRows(rows []*controlpb.Shard, svc string) []*controlpb.Shard {
	var out []*controlpb.Shard
	for _, row := range rows {
		if row.GetService() == svc && row.GetKey() == "" {
			out = append(out, row)
		}
	}
	return out
}

// usableServer returns the pools and the announcement of a usable server, nil without one.
func (cli *Client) usableServer() (*target, *Announcement) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.usable() {
		return nil, nil
	}
	return cli.tgt, cli.ann
}

// grant sends one grant and takes over what became of it.
func (cli *Client) grant(ctx context.Context, tgt *target, ann *Announcement, gcl *grantCall) {
	cli.calls.grantSlots <- struct{}{}
	defer func() { <-cli.calls.grantSlots }()
	ctx, cancel := context.WithDeadline(ctx, gcl.sendBy)
	defer cancel()
	gat := newGate(gcl.sendBy)
	sts, _, err := cli.send(ctx, tgt, gat, func() (*http.Request, error) {
		return cli.opt.Grants.Grant(tgt.base.String(), ann.ID, gcl.keyGrant(), gcl.hold, gcl.keyRange.Handover)
	})
	started, _ := gat.close()
	switch {
	case !started:
		cli.keys.grantNotSent(gcl)
		cli.failIfRefused(tgt, err)
	case err != nil:
		cli.cnt.Event("grant_unanswered")
		gcl.log(ann).WithField("cause", err.Error()).Warn("backend: A grant has no answer and may be applied late.")
		cli.keys.grantUnanswered(gcl, !errors.Is(err, context.DeadlineExceeded))
	case sts/100 == 2:
		cli.cnt.Event("grant_answered")
		if !gcl.renews {
			gcl.log(ann).Info("backend: Keys are granted.")
		}
		cli.keys.grantAnswered(gcl)
	case sts == http.StatusConflict:
		cli.cnt.Event("grant_outranked")
		gcl.log(ann).Warn("backend: The server has seen a higher token for some key of a grant.")
		cli.keys.grantOutranked(gcl)
	default:
		cli.cnt.Event("grant_refused")
		gcl.log(ann).WithField("status", sts).Warn("backend: A grant is refused.")
		cli.keys.grantNotSent(gcl)
	}
}

// log returns a log entry with what decides on a grant.
func (gcl *grantCall) log(ann *Announcement) *logrus.Entry {
	return logrus.WithFields(logrus.Fields{
		"server": ann.ID, "first": gcl.keyRange.First, "last": gcl.keyRange.Last, "token": gcl.keyRange.Token,
		"hold_ms": gcl.hold.Milliseconds(), "age_ms": time.Since(gcl.sendBy.Add(-grantTimeout)).Milliseconds(), "renews": gcl.renews,
	})
}

// failIfRefused marks a server as failed whose port refuses connections; it has ended.
func (cli *Client) failIfRefused(tgt *target, err error) {
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
	if _, err := io.CopyN(io.Discard, res.Body, maxBufferedAnswer); !errors.Is(err, io.EOF) {
		return 0, "", errNoAnswer
	}
	return res.StatusCode, cli.opt.Grants.Handover(res), nil
}

// releaseKeys takes rows back until they are free or the context ends.
func (cli *Client) releaseKeys(ctx context.Context, refs []*controlpb.ShardRef) {
	for _, run := range contiguousRefs(refs) {
		cli.calls.running.Go(func() { cli.releaseRange(ctx, run) })
	}
}

// releaseRange takes neighbouring rows under one token back.
func (cli *Client) releaseRange(ctx context.Context, refs []*controlpb.ShardRef) {
	for {
		ready, at, changed := cli.keys.beginRelease(refs)
		if ready {
			break
		}
		if !awaitChange(ctx, changed, at) {
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
	case cli.calls.releaseSlots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-cli.calls.releaseSlots }()
	tgt, ann := cli.usableServer()
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
	cli.keys.releaseAnswered(refs, handover)
	return true
}

// contiguousRefs divides references into runs that one call can name.
func contiguousRefs(refs []*controlpb.ShardRef) [][]*controlpb.ShardRef {
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
