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
	// maxGrantCalls and maxReleaseCalls limit concurrent calls; a release lasts as long as the work on its
	// keys.
	maxGrantCalls   = 8
	maxReleaseCalls = 32
	// releaseTimeout is the time after which a release without an answer is retried.
	releaseTimeout = 600 * time.Millisecond
	// releasePause is the delay before a release of the same rows is retried.
	releasePause = 50 * time.Millisecond
)

// errNoAnswer means that a call was written and received no usable answer.
var errNoAnswer = errors.New("no answer")

// calls limits and tracks the calls to the backend server that grant and release keys.
type calls struct {
	triggered    chan struct{} // signals that the rows have changed
	grantSlots   chan struct{} // semaphore of grant calls
	releaseSlots chan struct{} // semaphore of release calls
}

func newCalls() calls {
	return calls{triggered: make(chan struct{}, 1), grantSlots: make(chan struct{}, maxGrantCalls), releaseSlots: make(chan struct{}, maxReleaseCalls)}
}

// trigger makes the grant loop check the rows immediately.
func (cls *calls) trigger() {
	select {
	case cls.triggered <- struct{}{}:
	default:
	}
}

// grantLoop grants and renews the rows of this agent on a server that is granted keys by calls, until the
// context ends.
func (cli *Client) grantLoop(ctx context.Context) {
	var grants sync.WaitGroup
	defer grants.Wait()
	tck := time.NewTicker(tickInterval)
	defer tck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-cli.calls.triggered:
		case <-tck.C:
		}
		cli.sendDueGrants(ctx, &grants)
	}
}

// sendDueGrants sends the grants that are due in goroutines of a group.
func (cli *Client) sendDueGrants(ctx context.Context, grp *sync.WaitGroup) {
	tgt, ann := cli.usableServer()
	if tgt == nil || !cli.keys.grantedByCalls() || cli.opt.Owned == nil || cli.opt.Lease == nil {
		return
	}
	svc := cli.opt.Service(ann.Service)
	if !usesDirectGrants(svc) {
		return
	}
	cli.keys.setService(svc)
	// The rows are read before the lease for the same reason as in fillHolds.
	rows := partitionRows(cli.opt.Owned(), ann.Service)
	exp, valid := cli.opt.Lease()
	if !valid {
		return
	}
	for _, gcl := range cli.keys.dueGrants(rows, exp, svc.GetPartitions()) {
		grp.Go(func() { cli.grant(ctx, tgt, ann, gcl) })
	}
}

// partitionRows returns the rows of a service that are partitions, not overrides.
func partitionRows(rows []*controlpb.Shard, svc string) []*controlpb.Shard {
	var out []*controlpb.Shard
	for _, row := range rows {
		if row.GetService() == svc && row.GetKey() == "" {
			out = append(out, row)
		}
	}
	return out
}

// usableServer returns the connections and the announcement of the server, or nil while it is not usable.
func (cli *Client) usableServer() (*target, *Announcement) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.usable() {
		return nil, nil
	}
	return cli.tgt, cli.ann
}

// grant sends one grant and records its outcome.
func (cli *Client) grant(ctx context.Context, tgt *target, ann *Announcement, gcl *grantCall) {
	cli.calls.grantSlots <- struct{}{}
	defer func() { <-cli.calls.grantSlots }()
	ctx, cancel := context.WithDeadline(ctx, gcl.sendBy)
	defer cancel()
	gat := newGate(gcl.sendBy)
	sts, _, err := cli.send(ctx, tgt.calls, gat, func() (*http.Request, error) {
		return cli.opt.Grants.Grant(tgt.base.String(), ann.ID, gcl.keyGrant(), gcl.hold, gcl.keyRange.Handover)
	})
	started, _ := gat.close()
	switch {
	case !started:
		cli.keys.grantNotApplied(gcl)
		cli.failIfRefused(tgt, err)
	case err != nil:
		cli.cnt.Event("grant_unanswered")
		gcl.log(ann).WithField("cause", err.Error()).Warn("backend: No answer to a grant; the server may still apply it.")
		cli.keys.grantUnanswered(gcl, !errors.Is(err, context.DeadlineExceeded))
	case sts/100 == 2:
		cli.cnt.Event("grant_answered")
		if !gcl.renews {
			gcl.log(ann).Info("backend: The server confirmed a grant of keys.")
		}
		cli.keys.grantAnswered(gcl)
	case sts == http.StatusConflict:
		cli.cnt.Event("grant_outranked")
		gcl.log(ann).Warn("backend: The server rejected a grant because it has seen a higher token for at least one of the keys.")
		cli.keys.grantOutranked(gcl)
	default:
		cli.cnt.Event("grant_refused")
		gcl.log(ann).WithField("status", sts).Warn("backend: The server refused a grant.")
		cli.keys.grantNotApplied(gcl)
	}
}

// log returns a log entry with the fields that determine the outcome of a grant.
func (gcl *grantCall) log(ann *Announcement) *logrus.Entry {
	return logrus.WithFields(logrus.Fields{
		"server": ann.ID, "first": gcl.keyRange.First, "last": gcl.keyRange.Last, "token": gcl.keyRange.Token,
		"hold_ms": gcl.hold.Milliseconds(), "age_ms": time.Since(gcl.sendBy.Add(-grantTimeout)).Milliseconds(), "renews": gcl.renews,
	})
}

// failIfRefused marks the server as failed if its port refused the connection.
func (cli *Client) failIfRefused(tgt *target, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		cli.fail(tgt, causeRefused)
	}
}

// send sends a call guarded by a gate, and returns the status of its answer and the handover for the next
// owner of the keys.
func (cli *Client) send(ctx context.Context, pool http.RoundTripper, gat *gate, build func() (*http.Request, error)) (int, string, error) {
	req, err := build()
	if err != nil {
		return 0, "", err
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(inf httptrace.GotConnInfo) {
		if con, ok := inf.Conn.(*conn); ok {
			con.attach(gat)
		}
	}}))
	res, err := pool.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	if _, err := io.CopyN(io.Discard, res.Body, maxBufferedAnswer); !errors.Is(err, io.EOF) {
		return 0, "", errNoAnswer
	}
	return res.StatusCode, cli.opt.Grants.Handover(res), nil
}

// releaseKeys releases rows in goroutines of a group until they are free or the context ends.
func (cli *Client) releaseKeys(ctx context.Context, refs []*controlpb.ShardRef, grp *sync.WaitGroup) {
	for _, run := range contiguousRefs(refs) {
		grp.Go(func() { cli.releaseRange(ctx, run) })
	}
}

// releaseRange releases contiguous rows that share a token.
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
		if _, held, _, _ := cli.keys.split(refs); len(held) == 0 || cli.release(ctx, refs) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(releasePause):
		}
	}
}

// release asks the server to release rows and reports whether it did.
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
	fst, lst := cli.keys.keyRange(refs[0].GetPartition(), refs[len(refs)-1].GetPartition())
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	sts, handover, err := cli.send(ctx, tgt.releases, newGate(time.Now().Add(releaseTimeout)), func() (*http.Request, error) {
		return cli.opt.Grants.Release(tgt.base.String(), ann.ID, siskinrill.NewKeyGrant(fst, lst, refs[0].GetToken()))
	})
	log := logrus.WithFields(logrus.Fields{"server": ann.ID, "first": fst, "last": lst, "token": refs[0].GetToken()})
	if err != nil || sts/100 != 2 {
		cli.cnt.Event("release_unanswered")
		log.WithField("status", sts).Warn("backend: No successful answer to a release.")
		return false
	}
	cli.cnt.Event("release_answered")
	log.WithField("handover", handover != "").Info("backend: The server released keys.")
	cli.keys.releaseAnswered(refs, handover)
	return true
}

// contiguousRefs groups references into contiguous ranges that one call can name.
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
