package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	heartbeatEvery = 870 * time.Millisecond
	modelLease     = 3500 * time.Millisecond
	// settleAfter is the time in which a server that goes on announcing itself must be served, whatever happened before.
	settleAfter = 20 * time.Second
)

// address is the address of a host, where one backend server runs or none.
type address struct {
	*heartbeatServer
	names    bool // the health path answers and names the server
	up       bool
	takesAll bool // the port accepts connections although no server runs, like that of a frozen host
}

// RoundTrip answers a request to the health path.
func (adr *address) RoundTrip(req *http.Request) (*http.Response, error) {
	if !adr.up || !adr.names {
		return nil, errors.New("no answer")
	}
	hdr := http.Header{siskinrill.HeaderUpstream: {adr.id}}
	return &http.Response{StatusCode: http.StatusOK, Header: hdr, Body: io.NopCloser(strings.NewReader("")), Request: req}, nil
}

func (adr *address) dial(context.Context, string, string) (net.Conn, error) {
	if !adr.up && !adr.takesAll {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	con, _ := net.Pipe()
	return con, nil
}

func newAddress(names bool) *address {
	adr := &address{names: names, up: true}
	adr.heartbeatServer = newAdjustedServer(modelLease, func(opt *Options) {
		opt.Dial = adr.dial
		opt.AnnounceEvery = heartbeatEvery
		opt.Transport = func(http.RoundTripper) http.RoundTripper { return adr }
		opt.Lease = func() (time.Time, bool) { return time.Now().Add(modelLease), true }
		svc := opt.Service("vitrine")
		svc.HealthPath = "/health"
	})
	adr.id, adr.incarnation = "v1", 5
	adr.rows = []*controlpb.Shard{row(1, 5), row(2, 5)}
	return adr
}

// restart ends the server and starts another one.
func (adr *address) restart(id string) {
	adr.id = id
	adr.incarnation++
	adr.sequence, adr.released = 0, nil
	clear(adr.held)
}

// lastReported returns the last server that the agent has reported to control.
func (adr *address) lastReported() *controlpb.Upstream {
	adr.mu.Lock()
	defer adr.mu.Unlock()
	return adr.reported[len(adr.reported)-1]
}

func (adr *address) beats(t must.T, num int) {
	for range num {
		adr.sendHeartbeat(t, false)
		time.Sleep(heartbeatEvery)
	}
}

// TestOtherWriterTakesPlace guards against an announcement of another writer that takes the place of the server that is up, so that
// its keys are granted to others while it holds them.
func TestOtherWriterTakesPlace(t *testing.T) {
	for name, odd := range map[string]func(ann *Announcement){
		"another id, started later":   func(ann *Announcement) { ann.ID, ann.Incarnation, ann.Sequence = "other", 9, 1 },
		"the same id, started later":  func(ann *Announcement) { ann.Incarnation, ann.Sequence = 9, 1 },
		"another id, the same start":  func(ann *Announcement) { ann.ID, ann.Sequence = "other", 1000 },
		"another id, started earlier": func(ann *Announcement) { ann.ID, ann.Incarnation, ann.Sequence = "other", 2, 1000 },
		"later, leaving":              func(ann *Announcement) { ann.Incarnation, ann.Leaving = 9, true },
	} {
		for _, names := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, health names %t", name, names), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					adr := newAddress(names)
					adr.beats(t, 3)
					ann := adr.announcement()
					adr.sequence--
					odd(ann)
					for range 4 {
						std, _ := adr.cli.Announce(t.Context(), ann) // it may be refused
						must.SliceEmpty(t, std.Holds)
						must.Len(t, 1, adr.sendHeartbeat(t, false).Holds, must.Sprint("the server that is up is not served"))
						time.Sleep(heartbeatEvery)
					}
					must.Len(t, 1, adr.reported)
					must.Eq(t, "v1", adr.lastReported().GetId())
				})
			})
		}
	}
}

// TestSuccessorIsServed guards against a server that has started again and is served late, or never, because its predecessor counts
// as up.
func TestSuccessorIsServed(t *testing.T) {
	for name, tcs := range map[string]struct {
		id       string
		names    bool
		takesAll bool // the port never refused a connection
		within   time.Duration
	}{
		"health path names it":       {id: "v2", names: true, takesAll: true, within: time.Millisecond},
		"the same id, nothing known": {id: "v1", names: true, takesAll: true, within: modelLease + heartbeatEvery},
		"no health path":             {id: "v2", takesAll: true, within: modelLease + heartbeatEvery},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				adr := newAddress(tcs.names)
				adr.beats(t, 3)
				adr.restart(tcs.id)
				begin := time.Now()
				for adr.lastReported().GetIncarnation() != 6 {
					must.LessEq(t, tcs.within, time.Since(begin))
					adr.beats(t, 1)
				}
				must.Len(t, 1, adr.sendHeartbeat(t, false).Holds)
			})
		})
	}
}

// announcementStep is a step of the model of servers that start, end, and of announcements that are late or of another writer.
type announcementStep struct {
	kind  int
	pause time.Duration
}

const (
	stepHeartbeat = iota
	stepRestart
	stepRestartSameID
	stepEnd
	stepLate    // an announcement that was sent earlier arrives
	stepForged  // one of another writer arrives
	stepSilence // the server sends nothing
	stepKinds
)

var announcementSteps = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) announcementStep {
	return announcementStep{
		kind:  rapid.IntRange(0, stepKinds-1).Draw(rt, "kind"),
		pause: time.Duration(rapid.IntRange(0, 4000).Draw(rt, "pause")) * time.Millisecond,
	}
}), 1, 30)

// playAnnouncements plays steps and returns what is wrong.
func playAnnouncements(t *testing.T, steps []announcementStep, names, takesAll bool) (wrong string) {
	synctest.Test(t, func(*testing.T) {
		adr := newAddress(names)
		adr.takesAll = takesAll
		var sent []*Announcement
		heartbeat := func() {
			if !adr.up {
				return
			}
			sent = append(sent, adr.announcement())
			adr.sequence--
			adr.sendHeartbeat(t, false)
		}
		// check finds a report of another server while one that is up holds keys.
		check := func() {
			adr.expire()
			adr.mu.Lock()
			defer adr.mu.Unlock()
			for _, ups := range adr.reported {
				if ups.GetIncarnation() != adr.incarnation && adr.up && len(adr.held) > 0 {
					wrong = fmt.Sprintf("server %s of start %d is reported while %s of start %d holds keys", ups.GetId(), ups.GetIncarnation(), adr.id, adr.incarnation)
				}
			}
			adr.reported = adr.reported[:0]
		}
		for num, stp := range steps {
			switch stp.kind {
			case stepHeartbeat:
				heartbeat()
			case stepRestart, stepRestartSameID:
				check()
				id := adr.id
				if stp.kind == stepRestart {
					id = fmt.Sprint("v", num+2)
				}
				adr.restart(id)
				adr.up = true
				heartbeat()
			case stepEnd:
				adr.up = false
			case stepLate:
				if len(sent) > 0 {
					_, _ = adr.cli.Announce(context.Background(), sent[len(sent)/2])
				}
			case stepForged:
				ann := adr.announcement()
				adr.sequence--
				ann.ID, ann.Incarnation = fmt.Sprint("forged", num), adr.incarnation+100
				_, _ = adr.cli.Announce(context.Background(), ann)
			}
			check()
			for end := time.Now().Add(stp.pause); stp.kind != stepSilence && time.Now().Before(end); check() {
				time.Sleep(min(heartbeatEvery, time.Until(end)))
				heartbeat()
			}
		}
		if !adr.up {
			adr.restart("last")
			adr.up = true
		}
		for end := time.Now().Add(settleAfter); wrong == "" && time.Now().Before(end); time.Sleep(heartbeatEvery) {
			heartbeat()
		}
		if wrong == "" && len(adr.held) == 0 {
			wrong = "the server that is up is not served"
		}
	})
	return wrong
}

// TestOneStartServed guards against a server whose keys are granted to others while it holds them, and against one that is never served
// again, in any order of starts, ends, late announcements and those of another writer.
func TestOneStartServed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := announcementSteps.Draw(rt, "steps")
		names := rapid.Bool().Draw(rt, "health path names the server")
		takesAll := rapid.Bool().Draw(rt, "port never refuses")
		if wrong := playAnnouncements(t, steps, names, takesAll); wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// TestLateHeartbeatAfterRestart guards against late announcements of servers that have ended, which an agent hears that has just
// started, and which keep the server that is up from being served.
func TestLateHeartbeatAfterRestart(t *testing.T) {
	const up = 6 // the server that is up; the others have ended
	for name, order := range map[string][]uint64{
		"first":               {5, up, up},
		"after the server":    {up, 5, up},
		"twice, first":        {5, 5, up, up},
		"before and after":    {5, up, 5, up},
		"twice, after":        {up, 5, 5, up},
		"of two starts":       {4, 5, up, up},
		"of two starts, back": {5, 4, up, 5, up},
	} {
		for _, id := range []string{"v0", "v1"} {
			for _, names := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, late ones of %s, health names %t", name, id, names), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						adr := newAddress(names)
						adr.restart("v1")
						rows := adr.rows
						adr.rows = nil // control takes over those of the earlier session once the server is reported
						for num, incarnation := range order {
							if incarnation == up {
								adr.beats(t, 1)
								must.Eq(t, up, adr.lastReported().GetIncarnation(), must.Sprint("the server that is up is not reported"))
								adr.rows = rows
								continue
							}
							late := adr.announcement()
							adr.sequence--
							late.ID, late.Incarnation, late.Sequence = id, incarnation, uint64(700+num/2)
							_, _ = adr.cli.Announce(t.Context(), late)
							time.Sleep(heldUpTogether / 2)
						}
						must.Len(t, 1, adr.sendHeartbeat(t, false).Holds)
					})
				})
			}
		}
	}
}

// TestHeardTwice guards against an agent that has just started and lets another writer take the place of a server that it has heard
// twice, but that holds no keys yet.
func TestHeardTwice(t *testing.T) {
	for name, numbered := range map[string]uint64{"numbered": 1, "without sequence numbers": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				adr := newAddress(false)
				adr.rows = nil
				for range 2 {
					ann := adr.announcement()
					ann.Sequence *= numbered
					_, err := adr.cli.Announce(t.Context(), ann)
					must.NoError(t, err)
					time.Sleep(heartbeatEvery)
				}
				ann := adr.announcement()
				ann.ID, ann.Incarnation, ann.Sequence = "other", 9, 1
				_, _ = adr.cli.Announce(t.Context(), ann)
				must.Eq(t, "v1", adr.lastReported().GetId())
			})
		})
	}
}
