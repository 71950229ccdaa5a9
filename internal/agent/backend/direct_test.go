package backend

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	directLease = 3500 * time.Millisecond
	// latestUse is the longest time after its arrival that the model applies a grant without an answer.
	latestUse = 12 * time.Second
)

// keptGrant is a grant that the model server applies late; its time runs from its arrival.
type keptGrant struct {
	par   uint32
	token uint64
	at    time.Time
	until time.Time
}

// keyServer is a model of a backend server that takes its keys from calls, by a clock that runs 2% slow.
type keyServer struct {
	held  map[uint32]modelHold
	seen  map[uint32]uint64 // highest token
	later []keptGrant
}

func newKeyServer() *keyServer {
	return &keyServer{held: map[uint32]modelHold{}, seen: map[uint32]uint64{}}
}

// step applies what is due and drops what has ended.
func (ksv *keyServer) step() {
	now := time.Now()
	var rest []keptGrant
	for _, kpt := range ksv.later {
		if now.Before(kpt.at) {
			rest = append(rest, kpt)
			continue
		}
		ksv.take(kpt.par, kpt.token, kpt.until)
	}
	ksv.later = rest
	for par, hld := range ksv.held {
		if !now.Before(hld.until) {
			delete(ksv.held, par)
		}
	}
}

func (ksv *keyServer) take(par uint32, tok uint64, until time.Time) {
	if tok < ksv.seen[par] || !time.Now().Before(until) {
		return
	}
	ksv.seen[par] = tok
	if old := ksv.held[par]; old.token == tok && old.until.After(until) {
		until = old.until
	}
	ksv.held[par] = modelHold{token: tok, until: until}
}

// outranks reports whether the server has seen a higher token on a key of a grant.
func (ksv *keyServer) outranks(gcl *grantCall) bool {
	for _, par := range gcl.parts {
		if ksv.seen[par] > gcl.rng.Token {
			return true
		}
	}
	return false
}

// may returns until when the server may hold a partition under a token, by what it holds and what it applies late.
func (ksv *keyServer) may(par uint32, tok uint64) time.Time {
	var end time.Time
	if hld, ok := ksv.held[par]; ok && hld.token == tok {
		end = hld.until
	}
	for _, kpt := range ksv.later {
		if kpt.par == par && kpt.token == tok && kpt.at.Before(kpt.until) {
			end = later(end, kpt.until)
		}
	}
	return end
}

// directWorld is an agent's view of a server with the server itself.
type directWorld struct {
	rnd   *rand.Rand
	ksv   *keyServer
	kys   keys
	flt   keyFaults
	rows  []*controlpb.Shard
	lease time.Time
	sent  []*grantCall // on their way
	refs  map[uint32]*controlpb.ShardRef
}

func newDirectWorld(seed int64, flt keyFaults) *directWorld {
	wld := &directWorld{rnd: rand.New(rand.NewSource(seed)), ksv: newKeyServer(), flt: flt, refs: map[uint32]*controlpb.ShardRef{}}
	for par := range uint32(heldPartitions) {
		wld.rows = append(wld.rows, row(par, 1))
	}
	wld.lease = time.Now().Add(directLease)
	wld.restartAgent()
	return wld
}

// restartAgent starts a new process beside the server, which knows nothing of the one before.
func (wld *directWorld) restartAgent() {
	wld.kys = newKeys()
	wld.kys.flt = wld.flt
	wld.kys.hear()
	clear(wld.refs)
	wld.sent = nil
}

// grant has the grants sent that are due; a few stay on their way.
func (wld *directWorld) grant() {
	calls := append(wld.sent, wld.kys.due(wld.rows, wld.lease, heldPartitions)...)
	wld.sent = nil
	for _, gcl := range calls {
		if wld.rnd.Intn(4) == 0 && time.Now().Before(gcl.sendBy) {
			wld.sent = append(wld.sent, gcl)
			continue
		}
		wld.finish(gcl)
	}
}

// finish delivers a grant, unless it may not be written any more, and decides what becomes of its answer.
func (wld *directWorld) finish(gcl *grantCall) {
	now := time.Now()
	until := now.Add(time.Duration(float64(gcl.hold) * clockRate))
	switch how := wld.rnd.Intn(6); {
	case !now.Before(gcl.sendBy) || how == 0:
		wld.kys.unsent(gcl)
	case how == 1: // the answer is lost
		wld.apply(gcl, now, until)
		wld.kys.unanswered(gcl, wld.rnd.Intn(2) == 0)
	case how == 2: // applied late
		wld.apply(gcl, now.Add(time.Duration(wld.rnd.Int63n(int64(latestUse)))), until)
		wld.kys.unanswered(gcl, false)
	case wld.ksv.outranks(gcl):
		wld.kys.outranked(gcl)
	default:
		wld.apply(gcl, now, until)
		wld.kys.granted(gcl)
	}
}

func (wld *directWorld) apply(gcl *grantCall, at, until time.Time) {
	for _, par := range gcl.parts {
		wld.ksv.later = append(wld.ksv.later, keptGrant{par: par, token: gcl.rng.Token, at: at, until: until})
	}
	wld.ksv.step()
}

// revoke begins to take a row back.
func (wld *directWorld) revoke() {
	row := wld.rows[wld.rnd.Intn(len(wld.rows))]
	if wld.refs[row.GetPartition()] == nil {
		wld.refs[row.GetPartition()] = refOf(row)
		wld.kys.revoke([]*controlpb.ShardRef{refOf(row)})
	}
}

// release asks the server for the rows that are to be given back, and moves those that are free. It returns an error if the server may still hold one of them.
func (wld *directWorld) release() error {
	for par, ref := range wld.refs {
		refs := []*controlpb.ShardRef{ref}
		// A row that the server never held is free before it is withdrawn.
		if wld.rnd.Intn(3) == 0 {
			continue
		}
		if ready, _, _ := wld.withdraw(refs); ready && wld.rnd.Intn(2) == 0 {
			if hld := wld.ksv.held[par]; hld.token <= ref.GetToken() {
				delete(wld.ksv.held, par)
			}
			if wld.rnd.Intn(3) > 0 {
				wld.kys.gaveBack(refs, "warm")
			}
		}
		if _, changed := wld.kys.pending(refs); changed != nil {
			continue
		}
		if end := wld.ksv.may(par, ref.GetToken()); time.Now().Before(end) {
			return fmt.Errorf("partition %d is given up %s before its end", par, time.Until(end))
		}
		delete(wld.refs, par)
		// The agent's tables are late: it still has the row under its old token.
		wld.grant()
		wld.rows[par] = row(par, ref.GetToken()+1)
	}
	return nil
}

func (wld *directWorld) withdraw(refs []*controlpb.ShardRef) (bool, time.Time, <-chan struct{}) {
	if wld.rnd.Intn(3) == 0 {
		return false, time.Time{}, nil
	}
	return wld.kys.withdraw(refs)
}

// run lets the agent, the server and the calls between them go through random steps.
func (wld *directWorld) run(steps int) error {
	for range steps {
		switch wld.rnd.Intn(12) {
		case 0:
			time.Sleep(time.Duration(wld.rnd.Intn(1500)) * time.Millisecond)
		case 1, 2:
			wld.revoke()
		case 3:
			// The calls of a process that ends have arrived by its end, or never do.
			for _, gcl := range wld.sent {
				wld.finish(gcl)
			}
			wld.restartAgent()
		case 4:
			wld.ksv.held, wld.ksv.seen, wld.ksv.later = map[uint32]modelHold{}, map[uint32]uint64{}, nil
			wld.kys.clear()
			for par, row := range wld.rows {
				// The keys of a new start come with new tokens.
				wld.rows[par].Token = row.GetToken() + 1
			}
			wld.sent = nil
			clear(wld.refs)
		case 5, 6:
			wld.kys.hear()
			wld.kys.trust()
			wld.lease = time.Now().Add(directLease)
		default:
			wld.grant()
		}
		time.Sleep(time.Duration(wld.rnd.Intn(60)) * time.Millisecond)
		wld.ksv.step()
		for par, hld := range wld.ksv.held {
			if hld.until.After(later(wld.lease, time.Now())) {
				return fmt.Errorf("partition %d is held %s beyond the lease", par, hld.until.Sub(wld.lease))
			}
			if hld.token < wld.rows[par].GetToken() {
				return fmt.Errorf("partition %d is held again under token %d, which was given up", par, hld.token)
			}
		}
		if err := wld.release(); err != nil {
			return err
		}
	}
	return nil
}

// TestDirectProperty guards against a row that is given up while the server holds it, works on it or may still take it from a grant that is applied late, over lost answers, restarts of either side, moves and a lease that ends.
func TestDirectProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Int64().Draw(rt, "seed")
		var err error
		synctest.Test(t, func(*testing.T) {
			err = newDirectWorld(seed, keyFaults{}).run(120)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// TestBrokenDirectRules guards against a property test that would not notice a broken rule.
func TestBrokenDirectRules(t *testing.T) {
	for nam, flt := range map[string]keyFaults{
		"late grants forgotten":        {forgetLate: true},
		"earlier process forgotten":    {forgetEarlier: true},
		"clock taken for exact":        {trueClock: true},
		"grants on their way released": {freeWhileSent: true},
	} {
		t.Run(nam, func(t *testing.T) {
			for seed := range int64(400) {
				var err error
				synctest.Test(t, func(*testing.T) { err = newDirectWorld(seed, flt).run(120) })
				if err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no run has noticed it")
		})
	}
}

// TestDirectServes guards against keys that are not served for long while one call in three has no answer, and after one that was lost with its connection.
func TestDirectServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wld := newDirectWorld(1, keyFaults{})
		held, looks := 0, 0
		for range 600 {
			wld.lease = time.Now().Add(directLease - 700*time.Millisecond)
			wld.kys.trust()
			wld.grant()
			time.Sleep(tickInterval)
			for _, row := range wld.rows {
				looks++
				if ok, _, _ := wld.kys.look(row); ok {
					held++
				}
			}
		}
		must.Greater(t, 0.99, float64(held)/float64(looks))
	})
}

// TestOutranked guards against rows that are lost because one neighbour in the same call has seen a higher token, and against a token that is sent again after it was refused by itself.
func TestOutranked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kys := newKeys()
		kys.hear()
		rows := []*controlpb.Shard{row(1, 5), row(2, 5), row(3, 5)}
		calls := kys.due(rows, time.Now().Add(directLease), heldPartitions)
		must.Len(t, 1, calls)
		must.Eq(t, []uint32{1, 2, 3}, calls[0].parts)
		must.SliceEmpty(t, kys.due(rows, time.Now().Add(directLease), heldPartitions))
		must.False(t, kys.outranked(calls[0]))
		calls = kys.due(rows, time.Now().Add(directLease), heldPartitions)
		must.Len(t, 3, calls)
		kys.granted(calls[0])
		must.True(t, kys.outranked(calls[1]))
		kys.granted(calls[2])
		must.SliceEmpty(t, kys.due(rows, time.Now().Add(directLease), heldPartitions))
		rows[1] = row(2, 9)
		calls = kys.due(rows, time.Now().Add(directLease), heldPartitions)
		must.Len(t, 1, calls)
		must.Eq(t, GrantedRange{First: 8192, Last: 12287, Token: 9}, calls[0].rng)
	})
}

// TestLostConnectionAwaitsHeartbeat guards against a start of the server that takes keys under the tokens of an earlier one, because the grants went on over a new connection before its first heartbeat.
func TestLostConnectionAwaitsHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kys := newKeys()
		kys.hear()
		rows := []*controlpb.Shard{row(1, 5)}
		calls := kys.due(rows, time.Now().Add(directLease), heldPartitions)
		kys.unanswered(calls[0], true)
		must.SliceEmpty(t, kys.due(rows, time.Now().Add(directLease), heldPartitions))
		kys.clear()
		must.Eq(t, 0, kys.left())
		kys.hear()
		must.SliceEmpty(t, kys.due(rows, time.Now().Add(directLease), heldPartitions))
		kys.trust()
		calls = kys.due(rows, time.Now().Add(directLease), heldPartitions)
		must.Len(t, 1, calls)
		kys.clear()
		kys.granted(calls[0]) // by the start before
		held, _, _ := kys.look(rows[0])
		must.False(t, held)
	})
}

// TestCarrierChanges guards against keys that count as free because a change of the service's carrier has another one report them.
func TestCarrierChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kys := newKeys()
		kys.hear()
		rows := []*controlpb.Shard{row(1, 5)}
		kys.granted(kys.due(rows, time.Now().Add(directLease), heldPartitions)[0])
		time.Sleep(longestDirect)
		kys.granted(kys.due(rows, time.Now().Add(directLease), heldPartitions)[0])
		end := kys.held[1].until
		kys.take(&Announcement{ID: "v1", Service: "vitrine"}, heldPartitions)
		refs := []*controlpb.ShardRef{refOf(rows[0])}
		kys.revoke(refs)
		at, changed := kys.pending(refs)
		must.NotNil(t, changed)
		must.False(t, at.Before(end))
		time.Sleep(time.Until(at))
		_, changed = kys.pending(refs)
		must.Nil(t, changed)
	})
}

// TestServiceNotKnownYet guards against an agent that takes the keys of its server for held for 10 s, since it heard the first heartbeat before the configuration that tells the carrier: nothing could move away from the server meanwhile.
func TestServiceNotKnownYet(t *testing.T) {
	const known = 500 * time.Millisecond // after the first heartbeat
	for nam, tcs := range map[string]struct {
		hear func(kys *keys)
		want time.Duration // after the start
	}{
		"direct":    {hear: (*keys).hear, want: longestDirect},
		"heartbeat": {hear: func(kys *keys) { kys.take(&Announcement{ID: "v1", Service: "vitrine"}, heldPartitions) }, want: longestHold},
		"heartbeat, then direct": {hear: func(kys *keys) {
			kys.take(&Announcement{ID: "v1", Service: "vitrine"}, heldPartitions)
			kys.hear()
		}, want: longestHold},
	} {
		t.Run(nam, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kys := newKeys()
				began := time.Now()
				kys.take(&Announcement{ID: "v1", Service: "vitrine"}, 0)
				must.Eq(t, longestHold, kys.unknown.Sub(began))
				time.Sleep(known)
				tcs.hear(&kys)
				must.Eq(t, tcs.want, kys.unknown.Sub(began))
			})
		})
	}
}
