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

// Peer is a control process as listed in the settings.
type Peer struct {
	Name    string
	Address string // IP:port of its gRPC listener
}

// Options are the settings of a control process's part of the log; zero values mean the defaults.
type Options struct {
	Name            string
	Address         string // IP:port of this process's gRPC listener, as other control processes reach it
	DataDir         string
	InitialMembers  []Peer   // the first one forms the cluster; empty for a process that is added later
	Seeds           []string // IP:port of some control processes, instead of InitialMembers; the lowest address forms the cluster, the other processes join it
	Bootstrap       bool     // with Seeds: first start of the deployment, a cluster may be formed
	Voters          int      // with Seeds: number of voters that the leader maintains; default 5
	Registry        siskinrill.Registry
	Logger          *logrus.Logger
	Tick            time.Duration  // between heartbeats; default 50 ms
	ElectionTicks   int            // minimum election timeout in ticks, the maximum is twice as long; default 5
	SnapshotEntries uint64         // applied entries between snapshots; default 8,192
	FileSystem      wal.FileSystem // default the host's
	Seed            uint64         // of the random election timeouts; default random
}

const (
	// MaxMessageBytes is the message size in bytes that the gRPC server of a control process must allow, because a
	// snapshot is sent as one message.
	MaxMessageBytes = 128 << 20

	inboxLimit     = 4096 // queued messages from other members; more are dropped, because raft sends them again
	peerQueueLimit = 256  // queued messages to one member; more are dropped
	requestLimit   = 1024 // requests of one kind that wait for the loop; more block their callers
	pendingLimit   = 8192 // proposals that wait for a majority; more are refused
	queuedLimit    = 1024 // queued messages and requests handled before one sync
	// keepEntries stay in the log after a snapshot, so that a member that lags by a few seconds needs no snapshot.
	keepEntries = 4096
	// snapshotBytes of applied commands trigger a snapshot even before SnapshotEntries, which limits the
	// memory that entries use.
	snapshotBytes = 32 << 20
	// keepEntriesAfterLarge replaces keepEntries after a snapshot that snapshotBytes triggered.
	keepEntriesAfterLarge = 256
	// leavingAnswers is how many heartbeats a process answers that is about to stop. The last answer may not be sent any more.
	leavingAnswers = 2
	// leavingTimeout limits the wait for these heartbeats.
	leavingTimeout = 300 * time.Millisecond
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
