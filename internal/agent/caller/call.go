package caller

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// target is the owner of a key according to this agent's copy of the table.
type target struct {
	shard   *controlpb.Shard
	address string // empty if the owner is this agent
	version uint64 // of the table
}

// serve makes attempts until there is an answer or a refusal that another attempt cannot change.
func (cal *call) serve() (*siskinrill.Answer, *siskinrill.Refusal) {
	for {
		if ref := cal.refuseQuarantined(); ref != nil {
			return nil, ref
		}
		tgt, ref := cal.locate()
		if ref != nil {
			return nil, ref
		}
		if ref := cal.addOutstanding(tgt); ref != nil {
			return nil, ref
		}
		cal.countLeft()
		ans, ref := cal.try(tgt)
		if ref == nil {
			return ans, nil
		}
		if ref := cal.prepareRetry(tgt, ref); ref != nil {
			return nil, ref
		}
	}
}

// locate returns the owner of the key; while there is none or the shard is moving, it waits for a newer table version.
func (cal *call) locate() (target, *siskinrill.Refusal) {
	for {
		if !cal.han.session.Fresh() {
			return target{}, siskinrill.NotRun(siskinrill.ReasonNoLease).WithRetryAfter(defaultRetryAfter)
		}
		tgt, rsn := cal.lookup()
		if rsn == "" {
			return tgt, nil
		}
		if rsn == siskinrill.ReasonZoneDrained || rsn == siskinrill.ReasonRegionNotAllowed {
			// A wait could end only with an order or a configuration of an operator.
			return tgt, siskinrill.NotRun(rsn).WithRetryAfter(defaultRetryAfter)
		}
		if _, valid := cal.han.session.Expires(); rsn == siskinrill.ReasonDraining && !valid {
			// Without control this agent does not learn of another owner, so that a wait would end at the deadline.
			return tgt, siskinrill.NotRun(rsn).WithRetryAfter(defaultRetryAfter)
		}
		if ref := cal.await(tgt.version, rsn, false); ref != nil {
			return tgt, ref
		}
	}
}

// lookup returns the owner of the key, or the reason why no request can be sent to it now.
func (cal *call) lookup() (target, siskinrill.Reason) {
	ses := cal.han.session
	// The version is read first, so that a change between the two reads ends the wait immediately.
	tgt := target{version: ses.Version()}
	if cal.keyless() {
		tgt.shard = cal.pickUpstream()
	} else {
		tgt.shard = ses.Shard(cal.service.GetName(), cal.key)
	}
	if tgt.shard == nil {
		return tgt, cal.noUpstreamReason()
	}
	nod := ses.Node(tgt.shard.GetOwner())
	if rsn := cal.placeReason(tgt.shard, nod); rsn != "" {
		return tgt, rsn
	}
	if tgt.shard.GetPhase() == controlpb.Phase_PHASE_RELEASING && cal.service.GetKeyMode() != controlpb.KeyMode_KEY_MODE_NUMBER {
		// A backend server with numeric keys serves a row until its next heartbeat, so its agent decides.
		return tgt, siskinrill.ReasonMoving
	}
	if tgt.shard.GetOwner() == 0 {
		return tgt, siskinrill.ReasonNoOwner
	}
	if cal.outOfService(nod) {
		return tgt, siskinrill.ReasonDraining
	}
	if tgt.shard.GetOwner() == ses.Session() {
		return tgt, ""
	}
	if nod == nil {
		return tgt, siskinrill.ReasonNoOwner
	}
	tgt.address = nod.GetPeerAddress()
	return tgt, ""
}

// outOfService reports whether the backend server of an agent has been leaving for too long to receive requests.
func (cal *call) outOfService(nod *controlpb.Node) bool {
	return cal.han.advice.isOutOfService(siskinrill.StartOf(nod.GetUpstream()), cal.han.opt.DrainGrace)
}

// noUpstreamReason returns why no upstream of a service without keys can be picked.
func (cal *call) noUpstreamReason() siskinrill.Reason {
	if rsn := cal.barredReason(); rsn != "" {
		return rsn
	}
	if cal.keyless() && slices.ContainsFunc(cal.han.session.Upstreams(cal.service.GetName()), cal.outOfService) {
		return siskinrill.ReasonDraining
	}
	return siskinrill.ReasonNoOwner
}

// await waits for a table version above ver, with poll for at most a short pause. It returns a refusal if the
// wait cannot start, for example because the time is used up.
func (cal *call) await(ver uint64, rsn siskinrill.Reason, poll bool) *siskinrill.Refusal {
	remaining := min(maxOwnerWait(cal.service)-cal.ownerWait, cal.startTime())
	if cal.req.Context().Err() != nil {
		return siskinrill.NotRun(siskinrill.ReasonCallerGone)
	}
	if remaining <= 0 {
		return cal.ownerWaitExpired(rsn)
	}
	if cal.outlastsStop() {
		return siskinrill.NotRun(siskinrill.ReasonDraining).WithRetryAfter(stopRetryAfter)
	}
	// A waiting call does not count as outstanding, so that the limit of a failed owner does not refuse later requests.
	cal.removeOutstanding()
	defer cal.han.waiting.Add(-1)
	if cal.han.waiting.Add(1) > int64(cal.han.opt.MaxWaiting) {
		cal.han.counters.Event("waiting_limit")
		return siskinrill.NotRun(rsn).WithRetryAfter(defaultRetryAfter)
	}
	if poll {
		remaining = min(remaining, cal.pollPause)
		cal.pollPause = min(2*cal.pollPause, 16*cal.han.opt.Poll)
	}
	cal.progress.setStage(stageLocate)
	beg := time.Now()
	ctx, cancel := context.WithTimeout(cal.req.Context(), remaining)
	defer cancel()
	defer context.AfterFunc(cal.han.stop.withdrawn, cancel)()
	_ = cal.han.session.Await(ctx, ver)
	cal.ownerWait += time.Since(beg)
	return nil
}

// ownerWaitExpired returns the refusal of a call that found no owner in time.
func (cal *call) ownerWaitExpired(rsn siskinrill.Reason) *siskinrill.Refusal {
	if cal.startTime() <= 0 {
		rsn = siskinrill.ReasonDeadline
	}
	return siskinrill.NotRun(rsn).WithRetryAfter(defaultRetryAfter)
}

// startTime returns the remaining time in which an attempt can start that may end in time. It ends early enough before
// the deadline for the caller to receive the refusal.
func (cal *call) startTime() time.Duration {
	run := cal.han.loads.minRunTime(cal.service.GetName())
	return time.Until(cal.deadline) - max(run, siskinrill.RefusalLead(cal.deadline.Sub(cal.arrived)))
}

// addOutstanding counts the call as outstanding at an owner.
func (cal *call) addOutstanding(tgt target) *siskinrill.Refusal {
	own := tgt.shard.GetOwner()
	if cal.countedOwner == own {
		return nil
	}
	cal.removeOutstanding()
	limit := orDefault(cal.service.GetMaxOutstandingPerOwner(), defaultOutstanding)
	if !cal.han.outstanding.tryAdd(own, limit) {
		return siskinrill.NotRun(siskinrill.ReasonOutstandingLimit).WithRetryAfter(defaultRetryAfter)
	}
	cal.countedOwner = own
	return nil
}

// try makes one attempt, hedged if the service is configured so.
func (cal *call) try(tgt target) (*siskinrill.Answer, *siskinrill.Refusal) {
	if time.Until(cal.deadline) <= 0 {
		return nil, siskinrill.NotRun(siskinrill.ReasonDeadline)
	}
	if cal.req.Context().Err() != nil {
		return nil, siskinrill.NotRun(siskinrill.ReasonCallerGone)
	}
	if cal.outlastsStop() {
		return nil, siskinrill.NotRun(siskinrill.ReasonDraining).WithRetryAfter(stopRetryAfter)
	}
	cal.tries++
	cal.progress.setStage(stageAttempt)
	cal.progress.owner.Store(tgt.shard.GetOwner())
	cal.progress.tries.Add(1)
	cal.attemptStart = time.Now()
	if cal.atMostOnce() {
		return cal.tryAtMostOnce(tgt)
	}
	if after := cal.hedgeAfter(); after > 0 {
		return cal.tryHedged(tgt, after)
	}
	ctx, cancel := cal.han.attemptContext(cal.req.Context(), cal.deadline)
	opn := cal.openMessage(tgt)
	ans, ref := cal.send(ctx, tgt, opn)
	cal.noteUnknown(tgt, opn.GetAttempt(), ref)
	return cancelOnClose(ans, ref, cancel)
}

// send passes an attempt to the owner, which may be this agent.
func (cal *call) send(ctx context.Context, tgt target, opn *peerpb.Open) (*siskinrill.Answer, *siskinrill.Refusal) {
	attemptCtx, endAttempt := context.WithCancel(context.WithoutCancel(ctx))
	defer endAttempt()
	defer context.AfterFunc(cal.han.stop.withdrawn, func() { cal.withdrawUntil(attemptCtx, tgt, opn.GetAttempt()) })()
	att := siskinrill.NewAttempt(opn, cal.body.newAttemptReader())
	var ans *siskinrill.Answer
	var err error
	beg := time.Now()
	if tgt.address == "" {
		ans, err = cal.han.owner.Handle(ctx, att)
	} else {
		ans, err = cal.han.forwarder.Forward(ctx, tgt.address, att)
	}
	reported := cal.recordLoad(tgt, ans, err)
	if err == nil {
		cal.observeAttempt(tgt, ans, nil, reported, time.Since(beg))
		return ans, nil
	}
	ref := &siskinrill.Refusal{}
	if !errors.As(err, &ref) {
		ref = siskinrill.Unknown(siskinrill.ReasonInternal, err)
	}
	cal.observeAttempt(tgt, nil, ref, reported, time.Since(beg))
	return nil, cal.aborted(ref)
}

// recordLoad stores and returns the load that the owner reported with its answer or refusal.
func (cal *call) recordLoad(tgt target, ans *siskinrill.Answer, err error) *peerpb.OwnerLoad {
	ses := tgt.shard.GetOwner()
	var reported *peerpb.OwnerLoad
	ref := &siskinrill.Refusal{}
	switch {
	case tgt.address == "":
		reported = cal.han.owner.CurrentLoad()
	case err == nil:
		reported = ans.Head().GetLoad()
	case errors.As(err, &ref):
		reported = ref.Load()
	}
	cal.han.loads.recordRunTime(cal.service.GetName(), reported)
	cal.han.loads.record(ses, reported, cal.han.outstanding.count(ses))
	// Only with an answer of the server does the lack of advice mean that the server states nothing: an owner that has just
	// restarted refuses requests before it has heard its server.
	if nod := cal.han.session.Node(ses); nod != nil && (err == nil && reported != nil || reported.GetAdvice() != nil) {
		cal.han.advice.record(siskinrill.StartOf(nod.GetUpstream()), reported.GetAdvice())
	}
	return reported
}

// openMessage returns the first message of a new attempt.
func (cal *call) openMessage(tgt target) *peerpb.Open {
	han := cal.han
	return &peerpb.Open{
		Attempt:         &peerpb.AttemptId{EntrySession: han.entrySession.Load(), Counter: han.attempts.Add(1)},
		OwnerSession:    tgt.shard.GetOwner(),
		Service:         cal.service.GetName(),
		Key:             cal.key,
		Partition:       tgt.shard.GetPartition(),
		Token:           tgt.shard.GetToken(),
		Method:          cal.req.Method,
		Target:          cal.requestTarget,
		Headers:         cal.headers,
		TimeoutMs:       uint32(max(1, time.Until(cal.deadline).Milliseconds())),
		Kind:            uint32(cal.route.GetKind()),
		IdempotencyKey:  cal.idempotencyKey,
		BodyLength:      cal.body.length,
		Body:            cal.body.prefix,
		BodyEnd:         cal.body.complete,
		Retry:           cal.tries > 1,
		Route:           cal.route.GetName(),
		Priority:        cal.route.GetPriority(),
		AllowedRegions:  cal.route.GetAllowedRegions(),
		AimMs:           cal.aimMs(),
		HasAlternatives: cal.hasAlternatives,
		Advice:          han.advice.get(siskinrill.StartOf(han.session.Node(tgt.shard.GetOwner()).GetUpstream())),
	}
}

// aimMs returns the remaining time until the target latency, 0 only if the route has none: an owner would queue a request
// whose target is exceeded like one without a target, ahead of those that cannot be served on time either.
func (cal *call) aimMs() uint32 {
	if cal.targetDeadline.IsZero() {
		return 0
	}
	return uint32(max(1, time.Until(cal.targetDeadline).Milliseconds()))
}

// cancelOnClose cancels the context of an answer when its body is closed, or immediately if there is none to read.
func cancelOnClose(ans *siskinrill.Answer, ref *siskinrill.Refusal, cancel context.CancelFunc) (*siskinrill.Answer, *siskinrill.Refusal) {
	if ref != nil || ans.Body() == nil {
		cancel()
		return ans, ref
	}
	return siskinrill.NewAnswer(ans.Head(), &cancelOnCloseBody{ReadCloser: ans.Body(), cancel: cancel}), nil
}
