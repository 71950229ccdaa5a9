package member

import (
	"slices"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// newestID returns the highest id of a store in several memberships, 0 for none. A store that was removed and added again has
// had several ids.
func newestID(mbss []*controlpb.Members, name, sid string) uint64 {
	mid := uint64(0)
	for _, mbs := range mbss {
		for _, mem := range mbs.GetMembers() {
			if mem.GetName() == name && mem.GetStoreId() == sid {
				mid = max(mid, mem.GetId())
			}
		}
	}
	return mid
}

// memberOf returns the member of a store, nil for none.
func memberOf(mbs *controlpb.Members, sid string) *controlpb.Member {
	for _, mem := range mbs.GetMembers() {
		if mem.GetStoreId() == sid {
			return mem
		}
	}
	return nil
}

// memberWithID returns the member with an id, nil for none.
func memberWithID(mbs *controlpb.Members, mid uint64) *controlpb.Member {
	for _, mem := range mbs.GetMembers() {
		if mem.GetId() == mid {
			return mem
		}
	}
	return nil
}

// senderMatches reports whether the membership lists a store under the sender's id; a sender that is not listed matches.
func senderMatches(mbs *controlpb.Members, from uint64, sid string) bool {
	mem := memberWithID(mbs, from)
	return mem == nil || mem.GetStoreId() == sid
}

// appendLearner adds a store under a new id.
func appendLearner(mbs *controlpb.Members, name, sid, addr string) {
	mbs.Members = append(mbs.Members, &controlpb.Member{Id: mbs.GetNextId(), Name: name, StoreId: sid, Address: addr, Learner: true})
	mbs.NextId++
}

// removeFirst removes the first member that matches and reports whether there was one.
func removeFirst(mbs *controlpb.Members, matches func(*controlpb.Member) bool) bool {
	pos := slices.IndexFunc(mbs.GetMembers(), matches)
	if pos < 0 {
		return false
	}
	mbs.Members = slices.Delete(mbs.Members, pos, pos+1)
	return true
}

// removeReplaced removes a member with the same address or name as a process whose store is another one, and reports whether
// there was one.
func removeReplaced(mbs *controlpb.Members, req *controlpb.JoinRequest) bool {
	return removeFirst(mbs, func(mem *controlpb.Member) bool {
		return mem.GetStoreId() != req.GetStoreId() && (mem.GetAddress() == req.GetAddress() || mem.GetName() == req.GetName())
	})
}

// promote makes a learner a voter and reports whether there was one with the id.
func promote(mbs *controlpb.Members, mid uint64) bool {
	mem := memberWithID(mbs, mid)
	if !mem.GetLearner() {
		return false
	}
	mem.Learner = false
	return true
}
