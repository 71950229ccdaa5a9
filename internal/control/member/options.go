package member

import (
	"cmp"
	"io"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/wal"
)

// Peer is a control process as the settings name it.
type Peer struct {
	Name    string
	Address string // IP:port of its gRPC listener
}

// Options are the settings of a control process's part of the log; zero values mean the defaults.
type Options struct {
	Name            string
	Address         string // IP:port of the own gRPC listener, as other control processes reach it
	DataDir         string
	InitialMembers  []Peer   // the first one forms the cluster; empty for a process that is added later
	Seeds           []string // IP:port of some control processes, in place of InitialMembers; the least of them forms the cluster, others join it
	Bootstrap       bool     // with Seeds: the deployment starts for the first time, so that a cluster may be formed
	Voters          int      // with Seeds: number of voters that the leader restores by itself; 5
	Registry        siskinrill.Registry
	Logger          *logrus.Logger
	Tick            time.Duration  // between heartbeats; 50 ms
	ElectionTicks   int            // shortest election timeout, the longest is twice as long; 5
	SnapshotEntries uint64         // applied entries between snapshots; 8,192
	FileSystem      wal.FileSystem // the host's when nil
	Seed            uint64         // of the election timeouts; random when 0
}

const (
	// MaxMessageBytes is the limit in bytes that the gRPC server of a control process must allow, because a snapshot travels as one message.
	MaxMessageBytes = 128 << 20

	inboxLimit     = 4096 // messages from other members; more are dropped, as raft sends again
	peerQueueLimit = 256  // messages to one member; more are dropped
	requestLimit   = 1024 // calls that wait for the loop; more block their callers
	pendingLimit   = 8192 // proposals without a majority; more are refused
	queuedLimit    = 1024 // messages and requests handled between two syncs
	// keepEntries stay in the log after a snapshot, so that a member that is a few seconds behind needs no snapshot.
	keepEntries = 4096
	// snapshotBytes of applied commands cause a snapshot before SnapshotEntries do, which bounds the memory for entries.
	snapshotBytes = 32 << 20
	// keepEntriesAfterLarge replaces keepEntries after such a snapshot.
	keepEntriesAfterLarge = 256
)

func (opt Options) withDefaults() Options {
	if opt.Tick == 0 {
		opt.Tick = 50 * time.Millisecond
	}
	if opt.ElectionTicks == 0 {
		opt.ElectionTicks = 5
	}
	if opt.SnapshotEntries == 0 {
		opt.SnapshotEntries = 8192
	}
	if opt.Seed == 0 {
		opt.Seed = rand.Uint64()
	}
	opt.Voters = cmp.Or(opt.Voters, 5)
	if opt.Logger == nil {
		opt.Logger = logrus.New()
		opt.Logger.SetOutput(io.Discard)
	}
	return opt
}
