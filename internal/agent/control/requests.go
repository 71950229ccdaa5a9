package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// sentState is what has been sent on one connection, so that each request is sent once per connection.
type sentState struct {
	exc      *exchange
	upstream *controlpb.Upstream
	leaving  bool
	refs     map[refKey]bool
	crashes  map[uint64]int // number of requests reported, by server
}

// sendRequests sends the agent's requests that have not been sent on this connection.
func (snt *sentState) sendRequests() error {
	for _, msg := range snt.unsentRequests() {
		if err := snt.exc.con.stream.Send(msg); err != nil {
			return err
		}
	}
	return nil
}

func (snt *sentState) unsentRequests() []*controlpb.AgentMessage {
	ses := snt.exc.ses
	ses.mu.Lock()
	defer ses.mu.Unlock()
	var msgs []*controlpb.AgentMessage
	if ups := ses.upstreamToSend(); ups != nil && !proto.Equal(ups, snt.upstream) {
		snt.upstream = ups
		msgs = append(msgs, &controlpb.AgentMessage{Kind: &controlpb.AgentMessage_SetUpstream{SetUpstream: ups}})
	}
	if ses.leaving && !snt.leaving {
		snt.leaving = true
		msgs = append(msgs, &controlpb.AgentMessage{Kind: &controlpb.AgentMessage_Drain{Drain: true}})
	}
	for _, rep := range ses.table.quarantine.recent() {
		if snt.crashes[rep.GetServer()] != len(rep.GetRequests()) {
			snt.crashes[rep.GetServer()] = len(rep.GetRequests())
			msgs = append(msgs, &controlpb.AgentMessage{Kind: &controlpb.AgentMessage_CrashReport{CrashReport: rep}})
		}
	}
	if rel := snt.unsentReleases(); rel != nil {
		msgs = append(msgs, &controlpb.AgentMessage{Kind: &controlpb.AgentMessage_Released{Released: rel}})
	}
	return msgs
}

// unsentReleases returns the releases not yet sent on this connection, nil for none; the session's lock is
// held.
func (snt *sentState) unsentReleases() *controlpb.Released {
	var rel *controlpb.Released
	for key, ref := range snt.exc.ses.released {
		if snt.refs[key] {
			continue
		}
		snt.refs[key] = true
		if rel == nil {
			rel = &controlpb.Released{Session: snt.exc.session}
		}
		rel.Shards = append(rel.Shards, ref)
	}
	return rel
}
