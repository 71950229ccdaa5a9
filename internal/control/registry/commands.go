package registry

import "github.com/siskinrill/siskinrill/internal/wire/controlpb"

// RegisterNode returns the command that registers an agent; the index of its entry becomes the session.
func RegisterNode(nod *controlpb.Node) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_RegisterNode{RegisterNode: &controlpb.RegisterNode{Node: nod}}}
}

// ExpireSessions returns the command that ends sessions and revokes their rows.
func ExpireSessions(sessions ...uint64) *controlpb.Command {
	exp := &controlpb.ExpireSessions{Sessions: sessions}
	return &controlpb.Command{Kind: &controlpb.Command_ExpireSessions{ExpireSessions: exp}}
}

// SetUpstream returns the command that stores an agent's announcement of its backend server.
func SetUpstream(ses uint64, ups *controlpb.Upstream) *controlpb.Command {
	set := &controlpb.SetUpstream{Session: ses, Upstream: ups}
	return &controlpb.Command{Kind: &controlpb.Command_SetUpstream{SetUpstream: set}}
}

// Assign returns the command that changes ownership rows.
func Assign(asg ...*controlpb.Assignment) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_Assign{Assign: &controlpb.Assign{Assignments: asg}}}
}

// Released returns the command that records that a session has released shards.
func Released(ses uint64, refs ...*controlpb.ShardRef) *controlpb.Command {
	rel := &controlpb.Released{Session: ses, Shards: refs}
	return &controlpb.Command{Kind: &controlpb.Command_Released{Released: rel}}
}

// ApplyConfiguration returns the command that accepts or refuses a configuration change.
func ApplyConfiguration(cid, opr string, cnf *controlpb.Configuration) *controlpb.Command {
	app := &controlpb.ApplyConfiguration{ChangeId: cid, Configuration: cnf, Operator: opr}
	return &controlpb.Command{Kind: &controlpb.Command_ApplyConfiguration{ApplyConfiguration: app}}
}

// ApplyOnBase returns the command that accepts a full configuration, or a patch unless it is nil, only if the
// current configuration has the base number.
func ApplyOnBase(cid, opr string, cnf *controlpb.Configuration, base uint64, pat *controlpb.ConfigurationChange) *controlpb.Command {
	app := &controlpb.ApplyConfiguration{ChangeId: cid, Configuration: cnf, Operator: opr, Base: &controlpb.BaseVersion{Number: base}, Patch: pat}
	return &controlpb.Command{Kind: &controlpb.Command_ApplyConfiguration{ApplyConfiguration: app}}
}

// SetZoneDrain returns the command that starts or ends the drain of all upstreams in a zone.
func SetZoneDrain(zon string, drn bool) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_SetZoneDrain{SetZoneDrain: &controlpb.SetZoneDrain{Zone: zon, Drain: drn}}}
}

// SetDrain returns the command that starts or cancels the drain of an upstream.
func SetDrain(ups string, drn bool) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_SetDrain{SetDrain: &controlpb.SetDrain{Upstream: ups, Drain: drn}}}
}

// RecordCrash returns the command that counts the crash of a server for the requests that ran there.
func RecordCrash(rep *controlpb.CrashReport) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_CrashReport{CrashReport: rep}}
}

// LowerSuspicion returns the command that ends the quarantine of requests, and forgets those that are not in quarantine,
// unless they have crashed a server after a log index.
func LowerSuspicion(idx uint64, reqs ...uint64) *controlpb.Command {
	low := &controlpb.LowerSuspicion{Requests: reqs, Index: idx}
	return &controlpb.Command{Kind: &controlpb.Command_LowerSuspicion{LowerSuspicion: low}}
}

// ForgetSuspects returns the command that forgets requests and ends their quarantine.
func ForgetSuspects(reqs ...uint64) *controlpb.Command {
	low := &controlpb.LowerSuspicion{Requests: reqs, Forget: true}
	return &controlpb.Command{Kind: &controlpb.Command_LowerSuspicion{LowerSuspicion: low}}
}
