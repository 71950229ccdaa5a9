package backend

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// heldUpTogether is the time within which announcements that were held up on one path arrive.
const heldUpTogether = 200 * time.Millisecond

// admits reports whether an announcement counts: as one of the current server, or as one of a server that is proved to have taken
// its place. Anyone may write announcements, and what follows from a restart is not taken back: the keys of the current server
// are granted to others at once.
//
// A server that must have crashed has ended. One whose port refuses connections, or whose health path answers for the other server, may
// be finishing its work, so that the other one has to wait until it holds no keys any more. Without such signs it also has to be silent.
func (cli *Client) admits(ctx context.Context, ann *Announcement) bool {
	cli.mu.Lock()
	cur, tgt := cli.ann, cli.tgt
	ended, silent, free := cli.ended, cli.isSilent(), cli.keys.remaining() <= 0 || cli.mustHaveCrashed() && !cli.hasOpenRuns()
	portClosed := cli.portClosed
	continues, replaces := ann.follows(cli.heard), cli.isGuessed() && ann.isSuccessorOf(cli.ann)
	cli.heard = ann
	cli.mu.Unlock()
	switch {
	case cur == nil:
		return true
	case ann.isOlderThan(cur):
		// Late announcements end soon. A server that goes on with them is the current one, and another writer was taken for it.
		if silent && (continues || cli.isNamed(ctx, tgt, cur, ann)) {
			return true
		}
		cli.cnt.Event("announce_late")
		return false
	case !ann.isOtherStart(cur), replaces, ended, silent:
		return true
	case free && (portClosed || cli.refusesConnections(ctx, tgt) || cli.isNamed(ctx, tgt, cur, ann)):
		return true
	}
	cli.expectCold()
	cli.cnt.Event("announce_unproved")
	logrus.Infof("backend: server %s is announced, but nothing proves that server %s has ended", ann.ID, cur.ID)
	return false
}

// isGuessed reports whether the current server was accepted only because nothing was known, and has neither been heard again nor
// granted keys since; the caller holds the mutex. Its announcement may be a late one, and a later start takes its place.
func (cli *Client) isGuessed() bool {
	return cli.guessed && cli.keys.remainingKnown() <= 0
}

// recordGuess records whether the current server is only guessed; the caller holds the mutex. Late announcements that were held up
// on the same path arrive together, so that they do not count as heard again.
func (cli *Client) recordGuess(old, ann *Announcement, gap time.Duration) {
	switch {
	case old == nil:
		cli.guessed = true
	case !ann.isOtherStart(old) && gap >= heldUpTogether:
		cli.guessed = false
	}
}

// isSilent reports whether the current server has missed its announcements and holds no keys any more; the caller holds the mutex.
func (cli *Client) isSilent() bool {
	return time.Since(cli.announcedAt) >= max(heartbeatGrace, 2*cli.announceGap) && cli.keys.remaining() <= 0
}

// isNamed reports whether the health path of the current server names the announced server and not the current one.
func (cli *Client) isNamed(ctx context.Context, tgt *target, cur, ann *Announcement) bool {
	if ann.ID == cur.ID || cli.healthPath() == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	name, answered := cli.askHealth(ctx, tgt, tgt.probes)
	return answered && name == ann.ID
}
