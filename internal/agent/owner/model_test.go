package owner

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"pgregory.net/rapid"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// kinds of steps.
const (
	opAttempt = iota
	opWithdraw
	opCancel
	opSleep
	opRelease
	opIsolate
	opFinishMoves
	opLease
	opRenew
	opNewSession
	opKinds
)

// op is one step of a plan.
type op struct {
	kind    int
	id      int // of the attempt
	key     int
	ms      int
	request controlpb.RequestKind
	idem    int // 0: none
	timeout int
	outcome peerpb.Outcome
	stream  bool // the answer is streamed
	early   bool // the caller does not read it
}

var (
	opGen = rapid.Custom(func(rt *rapid.T) op {
		return op{
			kind:    rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 1, 2, 3, 3, 3, 4, 5, 6, 6, 7, 8, 8, 9}).Draw(rt, "kind"),
			id:      rapid.IntRange(1, 24).Draw(rt, "id"),
			key:     rapid.IntRange(0, 3).Draw(rt, "key"),
			ms:      rapid.SampledFrom([]int{0, 1, 40, 60, 150, 199, 200, 260, 700, 65_000}).Draw(rt, "ms"),
			request: controlpb.RequestKind(rapid.IntRange(0, 2).Draw(rt, "request")),
			idem:    rapid.IntRange(0, 2).Draw(rt, "idem"),
			timeout: rapid.IntRange(50, 900).Draw(rt, "timeout"),
			outcome: peerpb.Outcome(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(rt, "outcome")),
			stream:  rapid.Bool().Draw(rt, "stream"),
			early:   rapid.Bool().Draw(rt, "early"),
		}
	})
	planGen = rapid.SliceOfN(opGen, 5, 50)
)

// model runs a plan against an owner and collects what must never happen.
type model struct {
	*bench
	slots int

	mu         sync.Mutex
	violations []string
	running    map[attemptID]*peerpb.Open
	ran        map[attemptID]bool
	withdrawn  map[attemptID]bool
	claimed    map[string]bool // key and Idempotency-Key that ran or runs
	cancels    map[int]context.CancelFunc
	gone       map[int]bool // attempts whose caller went away
	callers    sync.WaitGroup
}

func newModel(ctx context.Context, slots int, flt faults) *model {
	mdl := &model{
		slots: slots, running: map[attemptID]*peerpb.Open{}, ran: map[attemptID]bool{}, withdrawn: map[attemptID]bool{},
		claimed: map[string]bool{}, cancels: map[int]context.CancelFunc{}, gone: map[int]bool{},
	}
	mdl.bench = &bench{ses: newFakeSession(), fwd: &fakeForwarder{}, cnt: siskinrill.NewCounters()}
	mdl.bck = &fakeBackend{do: mdl.do, tell: 30 * time.Millisecond}
	mdl.own = New(Options{Slots: func() int { return slots }}, mdl.ses, mdl.fwd, mdl.bck, mdl.cnt)
	mdl.own.flt = flt
	mdl.ses.onRel = mdl.checkRelease
	go func() { _ = mdl.own.Run(ctx) }()
	return mdl
}

func (mdl *model) violate(format string, args ...any) {
	mdl.violations = append(mdl.violations, fmt.Sprintf(format, args...))
}

// step performs one step.
func (mdl *model) step(ctx context.Context, stp op) {
	name := partName(uint32(stp.key))
	switch stp.kind {
	case opAttempt:
		mdl.attempt(ctx, stp)
	case opWithdraw:
		mdl.callers.Go(func() { mdl.withdraw(ctx, stp) })
	case opCancel:
		mdl.cancel(stp.id)
	case opSleep:
		time.Sleep(time.Duration(stp.ms) * time.Millisecond)
	case opRelease:
		mdl.ses.release(name)
	case opIsolate:
		mdl.isolate(stp.key)
	case opFinishMoves:
		mdl.finishMoves()
	case opLease:
		mdl.ses.change(func() { mdl.ses.expires = time.Now().Add(time.Duration(stp.ms) * time.Millisecond) })
	case opRenew:
		mdl.ses.change(func() { mdl.ses.expires = time.Now().Add(time.Hour) })
	case opNewSession:
		mdl.newSession()
	}
}

func (mdl *model) cancel(num int) {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	if cancel := mdl.cancels[num]; cancel != nil {
		cancel()
		mdl.gone[num] = true
	}
}

func keyText(num int) string { return "k" + string(rune('a'+num)) }

// isolate starts to move a key away from its partition.
func (mdl *model) isolate(num int) {
	row := mdl.ses.Shard(svcName, keyText(num))
	row.Key, row.Phase, row.Target = keyText(num), controlpb.Phase_PHASE_RELEASING, peerNode
	mdl.ses.change(func() {
		mdl.ses.version++
		row.Token = mdl.ses.version
		mdl.ses.rows[row.Key] = row
	})
}

// finishMoves lets control act on the releases: the rows go to the peer and come back with a new token.
func (mdl *model) finishMoves() {
	mdl.ses.change(func() {
		for _, ref := range mdl.ses.released {
			for _, row := range mdl.ses.rows {
				if row.GetPartition() == ref.GetPartition() && row.GetKey() == ref.GetKey() && row.GetToken() == ref.GetToken() {
					mdl.ses.version++
					row.Token, row.Phase, row.Target = mdl.ses.version, controlpb.Phase_PHASE_OWNED, 0
				}
			}
		}
		mdl.ses.released = nil
	})
}

func (mdl *model) newSession() {
	mdl.ses.change(func() {
		mdl.ses.session++
		for _, row := range mdl.ses.rows {
			mdl.ses.version++
			row.Owner, row.Token, row.Phase = mdl.ses.session, mdl.ses.version, controlpb.Phase_PHASE_OWNED
		}
	})
}

func (mdl *model) attempt(ctx context.Context, stp op) {
	opn := open(uint64(stp.id), keyText(stp.key))
	opn.Token = mdl.ses.Shard(svcName, opn.Key).GetToken()
	opn.OwnerSession = mdl.ses.Session()
	opn.Kind = uint32(stp.request)
	opn.TimeoutMs = uint32(stp.timeout)
	if stp.idem > 0 {
		opn.IdempotencyKey = "i" + string(rune('0'+stp.idem))
	}
	opn.Headers = []*peerpb.HeaderField{{Name: "X-Step", Values: []string{fmt.Sprint(stp.ms % 1000)}}}
	att := siskinrill.NewAttempt(opn, nil)
	if stp.request == controlpb.RequestKind_REQUEST_KIND_UPLOAD {
		opn.BodyEnd, opn.BodyLength = false, -1
		att = siskinrill.NewAttempt(opn, strings.NewReader("photo"))
	}
	ctx, cancel := context.WithCancel(context.WithValue(ctx, stepKey{}, stp))
	mdl.mu.Lock()
	mdl.cancels[stp.id] = cancel
	mdl.mu.Unlock()
	mdl.callers.Go(func() {
		defer cancel()
		ans, err := mdl.own.Handle(ctx, att)
		mdl.told(idOf(opn.GetAttempt()), opn, err)
		if ans != nil && ans.Body() != nil && !stp.early {
			_, _ = io.Copy(io.Discard, ans.Body())
		}
		if ans != nil {
			_ = ans.Close()
		}
	})
}

// stepKey carries the step to the fake backend server.
type stepKey struct{}

// told checks a refusal against what ran; a duplicate of an attempt that runs must not be told that it did not run.
func (mdl *model) told(idt attemptID, opn *peerpb.Open, err error) {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	if err != nil && refusalOf(err).NotRun() && mdl.ran[idt] {
		mdl.violate("not_run: %v (%s) after it ran: %v", idt, opn.GetKey(), err)
	}
	if err == nil {
		return
	}
	switch rsn := refusalOf(err).Reason(); {
	case rsn == siskinrill.ReasonInternal:
		mdl.violate("internal: %v", err)
	case rsn == siskinrill.ReasonCallerGone && !mdl.gone[int(idt.counter)]:
		mdl.violate("caller_gone: %v, whose caller waits", idt)
	}
}

func (mdl *model) withdraw(ctx context.Context, stp op) {
	req := withdrawal(uint64(stp.id), uint32(stp.ms))
	req.OwnerSession = mdl.ses.Session()
	ans, err := mdl.own.Withdraw(ctx, req)
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	idt := idOf(req.GetAttempt())
	if err != nil {
		mdl.violate("withdraw: %v", err)
	}
	if ans.GetResult() != peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN {
		return
	}
	mdl.withdrawn[idt] = true
	if mdl.ran[idt] {
		mdl.violate("withdrawn: %v had run", idt)
	}
}

// do is the fake backend server: it checks the dispatch, and then takes its time.
func (mdl *model) do(ctx context.Context, att *siskinrill.Attempt, grt siskinrill.Grant) (*siskinrill.Answer, error) {
	stp := ctx.Value(stepKey{}).(op)
	opn := att.Open()
	mdl.enter(opn, att.Kind(), grt, stp)
	if att.Body() != nil {
		_, _ = io.Copy(io.Discard, att.Body())
	}
	select {
	case <-time.After(time.Duration(stp.ms%1000) * time.Millisecond):
	case <-ctx.Done():
		mdl.leave(opn)
		return nil, siskinrill.Unknown(siskinrill.ReasonBackendTimeout, ctx.Err())
	}
	switch stp.outcome {
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		mdl.undo(opn)
		return nil, siskinrill.NotRun(siskinrill.ReasonBackendShed)
	case peerpb.Outcome_OUTCOME_UNKNOWN:
		mdl.leave(opn)
		return nil, siskinrill.Unknown(siskinrill.ReasonBackendLost, nil)
	}
	if stp.stream {
		bdy := &slowBody{ctx: ctx, done: func() { mdl.leave(opn) }}
		return siskinrill.NewAnswer(&peerpb.Response{Status: 200, BodyLength: -1}, bdy), nil
	}
	mdl.leave(opn)
	return answerOK(ctx, att, grt)
}

// enter checks what must hold when an attempt is handed over.
func (mdl *model) enter(opn *peerpb.Open, kind controlpb.RequestKind, grt siskinrill.Grant, _ op) {
	row := mdl.ses.Shard(svcName, opn.GetKey())
	exp, _ := mdl.ses.Expires()
	ses := mdl.ses.Session()
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	idt := idOf(opn.GetAttempt())
	reserve := reserveIdempotent
	if kind != controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT {
		reserve = reserveOnce
		mdl.claim(opn)
	}
	if time.Until(exp) < reserve {
		mdl.violate("lease: %v with %v left", idt, time.Until(exp))
	}
	if row.GetOwner() != ses || opn.GetOwnerSession() != ses || row.GetPhase() != controlpb.Phase_PHASE_OWNED || grt.Shard().GetToken() != row.GetToken() {
		mdl.violate("row: %v under %v", idt, row)
	}
	if mdl.ran[idt] {
		mdl.violate("twice: %v", idt)
	}
	if mdl.withdrawn[idt] {
		mdl.violate("withdrawn: %v ran later", idt)
	}
	mdl.ran[idt] = true
	mdl.running[idt] = opn
	if len(mdl.running) > mdl.slots {
		mdl.violate("slots: %d of %d", len(mdl.running), mdl.slots)
	}
}

// claim checks that an Idempotency-Key runs once.
func (mdl *model) claim(opn *peerpb.Open) {
	if opn.GetIdempotencyKey() == "" {
		return
	}
	name := opn.GetKey() + "/" + opn.GetIdempotencyKey()
	if mdl.claimed[name] {
		mdl.violate("idempotency key: %s ran again", name)
	}
	mdl.claimed[name] = true
}

func (mdl *model) leave(opn *peerpb.Open) {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	delete(mdl.running, idOf(opn.GetAttempt()))
}

// undo is leave for a run that the server refused.
func (mdl *model) undo(opn *peerpb.Open) {
	mdl.leave(opn)
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	delete(mdl.ran, idOf(opn.GetAttempt()))
	if opn.GetKind() != uint32(controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT) {
		delete(mdl.claimed, opn.GetKey()+"/"+opn.GetIdempotencyKey())
	}
}

// checkRelease checks that nothing of a released shard is in flight.
func (mdl *model) checkRelease(refs []*controlpb.ShardRef) {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	for _, ref := range refs {
		for idt, opn := range mdl.running {
			if opn.GetKey() == ref.GetKey() || (ref.GetKey() == "" && opn.GetPartition() == ref.GetPartition() && opn.GetToken() == ref.GetToken()) {
				mdl.violate("release: %v while %v runs", ref, idt)
			}
		}
	}
}

// checkQueue checks what must hold between two steps.
func (mdl *model) checkQueue() {
	mdl.own.mu.Lock()
	defer mdl.own.mu.Unlock()
	if mdl.own.que.Len() > int(mdl.ses.svc.GetQueueLimit()) {
		mdl.violate("queue: %d waiting", mdl.own.que.Len())
	}
}

// checkEnd checks that nothing is held once every deadline has passed.
func (mdl *model) checkEnd() {
	mdl.own.mu.Lock()
	defer mdl.own.mu.Unlock()
	if mdl.own.taken != 0 || len(mdl.own.running) != 0 || mdl.own.que.Len() != 0 {
		mdl.violate("end: %d slots, %d running, %d queued", mdl.own.taken, len(mdl.own.running), mdl.own.que.Len())
	}
	for idt, rec := range mdl.own.records {
		if rec.phase != phaseDone {
			mdl.violate("end: %v in phase %d", idt, rec.phase)
		}
	}
	for idt, clm := range mdl.own.claims {
		if clm.running {
			mdl.violate("end: %v still claimed", idt)
		}
	}
}

// slowBody is an answer in three parts, 30 ms apart.
type slowBody struct {
	ctx  context.Context
	part int
	done func()
	once sync.Once
}

func (sbd *slowBody) Read(buf []byte) (int, error) {
	select {
	case <-time.After(30 * time.Millisecond):
	case <-sbd.ctx.Done():
		sbd.once.Do(sbd.done)
		return 0, siskinrill.Unknown(siskinrill.ReasonBackendTimeout, sbd.ctx.Err())
	}
	sbd.part++
	if sbd.part > 3 {
		sbd.once.Do(sbd.done)
		return 0, io.EOF
	}
	return copy(buf, "part"), nil
}

func (sbd *slowBody) Close() error {
	sbd.once.Do(sbd.done)
	return nil
}
