package owner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// copyNet carries copies between the owners of a fleet; a message still arrives after its sender has timed out.
type copyNet struct {
	siskinrill.Forwarder

	flt  *fleet
	from int
}

func (net *copyNet) SendCopies(ctx context.Context, addr string, req *peerpb.StoreCopiesRequest) error {
	_, err := net.carry(ctx, addr, func(own *Owner) []*peerpb.RecordCopy {
		_, _ = own.StoreCopies(ctx, req)
		return nil
	})
	return err
}

func (net *copyNet) FetchCopies(ctx context.Context, addr string, req *peerpb.FetchCopiesRequest) ([]*peerpb.RecordCopy, error) {
	return net.carry(ctx, addr, func(own *Owner) []*peerpb.RecordCopy {
		cps, _ := own.FindCopies(ctx, req)
		return cps
	})
}

func (net *copyNet) carry(ctx context.Context, addr string, fnc func(own *Owner) []*peerpb.RecordCopy) ([]*peerpb.RecordCopy, error) {
	num := slices.IndexFunc(net.flt.rows, func(nod *controlpb.Node) bool { return nod.GetPeerAddress() == addr })
	out := make(chan []*peerpb.RecordCopy, 1)
	go func() {
		time.Sleep(net.flt.delays[num%len(net.flt.delays)])
		if own := net.flt.reachable(net.from, num); own != nil {
			out <- fnc(own)
		}
	}()
	select {
	case cps := <-out:
		return cps, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "no answer")
	}
}

// fleet is a number of owners of one partition table, of which some may fail.
type fleet struct {
	rows   []*controlpb.Node
	delays []time.Duration // delays of messages, by the agent that they are sent to, repeated
	flts   faults

	mu     sync.Mutex
	failed map[int]bool
	nodes  []*bench
	runs   map[string]int // number of runs by Idempotency-Key
	run    time.Duration  // duration of a run
	owner  int
	token  uint64
	count  uint64
}

func newFleet(ctx context.Context, num int, delays []time.Duration, flts faults) *fleet {
	flt := &fleet{delays: delays, flts: flts, failed: map[int]bool{}, runs: map[string]int{}, token: 10}
	for pos := range num {
		flt.rows = append(flt.rows, &controlpb.Node{
			Session: uint64(100 + pos), Name: fmt.Sprintf("n%d", pos), Zone: fmt.Sprintf("z%d", pos%3), PeerAddress: fmt.Sprintf("127.0.0.1:%d", pos+1),
		})
	}
	for pos := range num {
		flt.nodes = append(flt.nodes, flt.start(ctx, pos))
	}
	flt.grant(0)
	time.Sleep(10 * time.Millisecond) // wait for the end of the ramp
	return flt
}

// start starts an agent without any records.
func (flt *fleet) start(ctx context.Context, pos int) *bench {
	bnc := newBench(ctx, 4)
	bnc.fwd.Forwarder = &copyNet{flt: flt, from: pos}
	bnc.own.flt = flt.flts
	bnc.ses.change(func() {
		bnc.ses.session, bnc.ses.nodes = flt.rows[pos].GetSession(), flt.rows
		bnc.ses.svc.IdempotencyTtlS = 60
	})
	bnc.bck.do = func(ctx context.Context, att *siskinrill.Attempt, grt siskinrill.Grant) (*siskinrill.Answer, error) {
		flt.mu.Lock()
		flt.runs[att.Open().GetIdempotencyKey()]++
		dur := flt.run
		flt.mu.Unlock()
		time.Sleep(dur)
		return answerOK(ctx, att, grt)
	}
	return bnc
}

// reachable returns the owner of an agent, nil if it or the sender has failed.
func (flt *fleet) reachable(from, to int) *Owner {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	if flt.failed[from] || flt.failed[to] {
		return nil
	}
	return flt.nodes[to].own
}

func (flt *fleet) isFailed(pos int) bool {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	return flt.failed[pos]
}

// ran returns how often a request ran.
func (flt *fleet) ran(idem string) int {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	return flt.runs[idem]
}

// fail disconnects an agent and ends its lease; with the next grant it is no longer registered.
func (flt *fleet) fail(pos int) {
	flt.mu.Lock()
	flt.failed[pos] = true
	flt.mu.Unlock()
	flt.expire(pos)
}

// expire ends the lease of an agent.
func (flt *fleet) expire(pos int) {
	ses := flt.nodes[pos].ses
	ses.change(func() { ses.expires = time.Now() })
}

// restart starts a failed agent again without its records.
func (flt *fleet) restart(ctx context.Context, pos int) {
	bnc := flt.start(ctx, pos)
	flt.mu.Lock()
	defer flt.mu.Unlock()
	delete(flt.failed, pos)
	flt.nodes[pos] = bnc
}

// grant gives all partitions to an agent under a new token; failed agents are no longer registered.
func (flt *fleet) grant(pos int) {
	flt.token++
	flt.owner = pos
	var live []*controlpb.Node
	for num, row := range flt.rows {
		if !flt.isFailed(num) {
			live = append(live, row)
		}
	}
	for _, bnc := range flt.nodes {
		bnc.ses.change(func() {
			bnc.ses.nodes = live
			for _, row := range bnc.ses.rows {
				row.Owner, row.Token, row.Phase = flt.rows[pos].GetSession(), flt.token, controlpb.Phase_PHASE_OWNED
			}
		})
	}
}

// open returns a request of key ab for the current owner.
func (flt *fleet) open(idem string) *peerpb.Open {
	flt.count++
	opn := open(flt.count, "ab")
	opn.OwnerSession, opn.Token, opn.IdempotencyKey = flt.rows[flt.owner].GetSession(), flt.token, idem
	return opn
}

// holders returns the positions of the agents that store the records of the current owner.
func (flt *fleet) holders() []int {
	par := siskinrill.HashPartition(svcName, "ab", svcParts)
	var out []int
	for _, nod := range pickHolders(rankNodes(flt.rows, svcName, par), flt.rows[flt.owner]) {
		out = append(out, slices.Index(flt.rows, nod))
	}
	return out
}

// nextOwner returns a live agent other than the owner, a holder only if there is no other.
func (flt *fleet) nextOwner() int {
	hol, out := flt.holders(), flt.owner
	for pos := range flt.rows {
		if flt.isFailed(pos) || pos == flt.owner {
			continue
		}
		if !slices.Contains(hol, pos) {
			return pos
		}
		out = pos
	}
	return out
}
