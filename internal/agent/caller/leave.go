package caller

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// spillover returns the chooser of the call's service.
func (cal *call) spillover() *spillover {
	return cal.han.spillovers.get(cal.service.GetName(), rand.Float64)
}

// zone returns the zone of this entry.
func (cal *call) zone() string { return cal.han.opt.Zone }

// spillRequest returns what the choice of an upstream depends on.
func (cal *call) spillRequest() spillRequest {
	req := spillRequest{
		home: cal.zone(), route: cal.route.GetName(), deadline: time.Until(cal.deadline),
		bytes: max(cal.body.length, int64(len(cal.body.prefix))), refused: cal.refusedInZone,
	}
	if cal.route.GetKind() == controlpb.RequestKind_REQUEST_KIND_DOWNLOAD {
		req.answer = downloadBytes
	}
	if !cal.targetDeadline.IsZero() {
		req.target = max(0, time.Until(cal.targetDeadline))
	}
	return req
}

// countLeft counts a call once, when its first attempt in another zone is about to be sent.
func (cal *call) countLeft() {
	if cal.leaveReason == staysInZone || cal.leftZone {
		return
	}
	cal.leftZone = true
	cal.han.counters.Event(string(cal.leaveReason))
}

// noteRefusal records that an owner of this zone has too much work for the call.
func (cal *call) noteRefusal(tgt target, ref *siskinrill.Refusal) {
	if !cal.han.opt.ZoneSpillover || !refusedForLoad(ref.Reason()) {
		return
	}
	if cal.han.session.Node(tgt.shard.GetOwner()).GetZone() == cal.zone() {
		cal.refusedInZone = true
		cal.han.counters.Event(refusedInZone)
	}
}

// mayTryOther reports whether another attempt is useful after a refusal for load.
func (cal *call) mayTryOther(cnds []candidate) bool {
	return !cal.han.opt.ZoneSpillover || cal.spillover().mayRetry(cal.spillRequest(), cnds, time.Now())
}

// mayTryAfter reports whether another attempt is made if the chosen candidate refuses the call for load. An owner that is
// told so refuses requests that it could serve only late.
func (cal *call) mayTryAfter(chosen candidate, others []candidate) bool {
	home := func(cnd candidate) bool { return cnd.zone == cal.zone() }
	switch {
	case len(others) == 0:
		return false
	case !cal.han.opt.ZoneSpillover || !cal.refusedInZone && !home(chosen) || slices.ContainsFunc(others, home):
		return true
	}
	req := cal.spillRequest()
	req.refused = true
	return cal.spillover().mayRetry(req, others, time.Now())
}

// observeAttempt passes the outcome of an attempt to the chooser; ref is nil for an answer.
func (cal *call) observeAttempt(tgt target, ans *siskinrill.Answer, ref *siskinrill.Refusal, lod *peerpb.OwnerLoad, took time.Duration) {
	if !cal.han.opt.ZoneSpillover || !cal.keyless() {
		return
	}
	obs := observation{home: cal.zone(), route: cal.route.GetName(), took: took, load: lod, answered: ref == nil}
	obs.zone = cal.han.session.Node(tgt.shard.GetOwner()).GetZone()
	if ans != nil {
		obs.bytes = ans.Head().GetBodyLength()
	}
	if ref != nil {
		obs.lost = lostOnTheWay(ref.Reason())
		obs.refused = refusedForLoad(ref.Reason()) || ref.Reason() == siskinrill.ReasonDeadlineInQueue
	}
	cal.spillover().observe(obs, time.Now())
}

// lostOnTheWay reports whether an attempt failed between this agent and the owner, or got no answer in time, which a link
// that loses packets also causes.
func lostOnTheWay(rsn siskinrill.Reason) bool {
	switch rsn {
	case siskinrill.ReasonUnreachable, siskinrill.ReasonConnectionLost, siskinrill.ReasonDeadline:
		return true
	}
	return false
}
