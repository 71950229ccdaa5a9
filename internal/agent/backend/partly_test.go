package backend

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// pieces sends a heartbeat that lists ranges, and returns the answer.
func (hol *heartbeatServer) pieces(t *testing.T, rngs []HeldRange, released ...ReleasedRange) AnnouncementAnswer {
	t.Helper()
	ann := hol.announcement()
	ann.Holds, ann.Released = rngs, released
	std, err := hol.cli.Announce(t.Context(), ann)
	must.NoError(t, err)
	return std
}

// revokeAsync revokes rows and returns the partitions that are free so far.
func (hol *heartbeatServer) revokeAsync(t *testing.T, rows ...*controlpb.Shard) func() []uint32 {
	var refs []*controlpb.ShardRef
	for _, row := range rows {
		refs = append(refs, refOf(row))
	}
	freed := make(chan uint32, len(rows))
	go func() {
		for free := range hol.cli.Revoke(t.Context(), refs) {
			for _, ref := range free {
				freed <- ref.GetPartition()
			}
		}
	}()
	synctest.Wait()
	var out []uint32
	return func() []uint32 {
		synctest.Wait()
		for len(freed) > 0 {
			out = append(out, <-freed)
		}
		slices.Sort(out)
		return out
	}
}

// newReleasingServer returns a server that an answer has told to release partition 1 and to hold other rows, and a function that returns
// the partitions that are free so far.
func newReleasingServer(t *testing.T, others ...*controlpb.Shard) (*heartbeatServer, func() []uint32) {
	hol := newHeartbeatServer(3 * time.Second)
	hol.rows = append([]*controlpb.Shard{row(1, 5)}, others...)
	hol.sendHeartbeat(t, false)
	freed := hol.revokeAsync(t, hol.rows[0])
	hol.sendHeartbeat(t, false)
	return hol, freed
}

// TestKeysInUseGivenAway guards against a partition that is given to another server while this one works on some of its keys, which it
// lists in ranges of its own, and against one that it keeps longer than its hold by listing them.
func TestKeysInUseGivenAway(t *testing.T) {
	for name, listed := range map[string][]HeldRange{
		"single key":               {{First: 5000, Last: 5000, Token: 5}},
		"first key":                {{First: 4096, Last: 4096, Token: 5}},
		"last key":                 {{First: 8191, Last: 8191, Token: 5}},
		"all but one key":          {{First: 4096, Last: 5000, Token: 5}, {First: 5002, Last: 8191, Token: 5}},
		"piece across a border":    {{First: 8000, Last: 9000, Token: 5}},
		"in any order":             {{First: 30000, Last: 30010, Token: 5}, {First: 8000, Last: 8100, Token: 5}, {First: 1, Last: 2, Token: 5}},
		"older token":              {{First: 5000, Last: 5000, Token: 3}},
		"two tokens":               {{First: 4096, Last: 6000, Token: 5}, {First: 6001, Last: 8191, Token: 4}},
		"key within another range": {{First: 0, Last: 65535, Token: 4}, {First: 5000, Last: 5000, Token: 5}},
		"whole":                    {{First: 4096, Last: 8191, Token: 5}},
	} {
		for ends, lasts := range map[string]bool{"work ends": false, "work lasts for ever": true} {
			t.Run(name+", "+ends, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					hol, freed := newReleasingServer(t, row(2, 5))
					until := hol.until
					hol.leaseEnd = time.Now().Add(time.Minute) // a listed row is not renewed
					for time.Until(until) > 100*time.Millisecond {
						std := hol.pieces(t, listed)
						must.False(t, slices.ContainsFunc(std.Holds, func(rng GrantedRange) bool { return rng.First <= 8191 && rng.Last >= 4096 }))
						must.SliceEmpty(t, freed())
						time.Sleep(100 * time.Millisecond)
					}
					if !lasts {
						hol.pieces(t, nil)
						must.Eq(t, []uint32{1}, freed())
						return
					}
					time.Sleep(time.Until(until) - time.Millisecond)
					must.SliceEmpty(t, freed())
					time.Sleep(2 * time.Millisecond)
					must.Eq(t, []uint32{1}, freed())
					hol.pieces(t, listed)
					time.Sleep(time.Second)
					hol.pieces(t, listed)
					must.LessEq(t, 0, hol.cli.keys.heldFor(1), must.Sprint("listing a row renews it"))
				})
			})
		}
	}
}

// heldFor returns how long the server may still hold a key of a partition.
func (kys *keys) heldFor(par uint32) time.Duration {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	return max(time.Until(kys.held[par].until), 0)
}

// TestIdleRowsWaitForOthers guards against rows without work that wait, because they move together with one whose keys are worked on.
func TestIdleRowsWaitForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hol := newHeartbeatServer(3 * time.Second)
		hol.rows = []*controlpb.Shard{row(1, 5), row(2, 5), row(3, 5)}
		hol.sendHeartbeat(t, false)
		freed := hol.revokeAsync(t, hol.rows...)
		hol.sendHeartbeat(t, false)
		hol.pieces(t, []HeldRange{{First: 9000, Last: 9000, Token: 5}})
		must.Eq(t, []uint32{1, 3}, freed())
		hol.pieces(t, nil)
		must.Eq(t, []uint32{1, 2, 3}, freed())
	})
}

// TestPartServed guards against requests for a partition of which the server holds a part, until it is granted again, and against a grant
// that keeps no key because the server seems to hold it already.
func TestPartServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hol := newHeartbeatServer(3 * time.Second)
		moved := row(1, 5)
		moved.Handover = "warm"
		hol.rows = []*controlpb.Shard{moved}
		hol.sendHeartbeat(t, false)
		time.Sleep(answerReadTime)
		must.True(t, hol.cli.Held(moved))
		std := hol.pieces(t, []HeldRange{{First: 4096, Last: 8190, Token: 5}})
		must.Eq(t, []GrantedRange{{First: 4096, Last: 8191, Token: 5, Handover: "warm"}}, std.Holds)
		must.False(t, hol.cli.Held(moved))
		time.Sleep(answerReadTime)
		must.True(t, hol.cli.Held(moved))
		std = hol.pieces(t, []HeldRange{{First: 6000, Last: 8191, Token: 5}, {First: 4096, Last: 5999, Token: 5}})
		must.Eq(t, []GrantedRange{{First: 4096, Last: 8191, Token: 5}}, std.Holds)
		must.True(t, hol.cli.Held(moved))
	})
}

// TestServedBeyondGrant guards against requests for a row after the end of its grant, because keys of it may be held for longer under a
// grant of a previous process of the agent.
func TestServedBeyondGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hol := newHeartbeatServer(time.Second)
		hol.rows = []*controlpb.Shard{row(1, 5)}
		std := hol.pieces(t, []HeldRange{{First: 5000, Last: 5000, Token: 5}})
		must.Len(t, 1, std.Holds)
		time.Sleep(answerReadTime)
		must.True(t, hol.cli.Held(hol.rows[0]))
		time.Sleep(time.Second)
		must.False(t, hol.cli.Held(hol.rows[0]))
		must.Positive(t, hol.cli.keys.heldFor(1))
	})
}

// TestHoldListedAgain guards against a hold that never ends, because a server lists a key in some heartbeats and not in others.
func TestHoldListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hol := newHeartbeatServer(3 * time.Second)
		hol.rows = []*controlpb.Shard{row(1, 5)}
		hol.sendHeartbeat(t, false)
		until := time.Now().Add(maxServerHold)
		hol.rows = nil
		for pos := 0; time.Now().Before(until); pos++ {
			var listed []HeldRange
			if pos%2 == 0 {
				listed = []HeldRange{{First: 5000, Last: 5000, Token: 5}}
			}
			hol.pieces(t, listed)
			must.LessEq(t, time.Until(until), hol.cli.keys.remaining())
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// TestLeftOutRowServedAgain guards against requests for a row that the server was told to release and lists as a whole because it works on
// one of its keys, after the row has come back with a higher token and that grant was lost.
func TestLeftOutRowServedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hol, freed := newReleasingServer(t)
		time.Sleep(3 * time.Second)
		must.Eq(t, []uint32{1}, freed())
		hol.rows = []*controlpb.Shard{row(1, 9)}
		hol.leaseEnd = time.Now().Add(3 * time.Second)
		whole := []HeldRange{{First: 4096, Last: 8191, Token: 5}}
		hol.pieces(t, whole) // the answer is lost
		time.Sleep(time.Second)
		std := hol.pieces(t, whole)
		must.Eq(t, []GrantedRange{{First: 4096, Last: 8191, Token: 9}}, std.Holds)
		must.False(t, hol.cli.Held(hol.rows[0]))
		time.Sleep(answerReadTime)
		must.True(t, hol.cli.Held(hol.rows[0]))
	})
}

// TestServerFailsWhileReleasing guards against the keys of a failed server that are given to others although it may hold them, because an
// answer that it may not have got leaves them out, or because it lists only some of them.
func TestServerFailsWhileReleasing(t *testing.T) {
	for name, listed := range map[string][]HeldRange{"answer lost": nil, "single key": {{First: 5000, Last: 5000, Token: 5}}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hol := newHeartbeatServer(3 * time.Second)
				hol.rows = []*controlpb.Shard{row(1, 5)}
				hol.sendHeartbeat(t, false)
				freed := hol.revokeAsync(t, hol.rows[0])
				hol.sendHeartbeat(t, true)
				until := hol.until
				if listed != nil {
					hol.pieces(t, listed)
				}
				hol.cli.fail(hol.cli.current(), causeSilent)
				hol.awaitState(t, controlpb.UpstreamState_UPSTREAM_STATE_FAILED)
				must.False(t, time.Now().Before(until), must.Sprint("the server still holds the keys"))
				must.Eq(t, []uint32{1}, freed())
			})
		})
	}
}

// TestPartListedToRestartedAgent guards against an agent that gives away a partition of whose keys its first heartbeats list only some,
// and against one that makes the server release them before control has returned its rows.
func TestPartListedToRestartedAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hol := newHeartbeatServer(3 * time.Second)
		rows := []*controlpb.Shard{row(1, 5)}
		listed := []HeldRange{{First: 5000, Last: 5000, Token: 5}}
		must.Eq(t, 0, hol.pieces(t, listed).HoldMs)
		hol.rows = rows
		freed := hol.revokeAsync(t, rows[0])
		must.Positive(t, hol.pieces(t, listed).HoldMs)
		hol.pieces(t, listed)
		must.SliceEmpty(t, freed())
		hol.pieces(t, nil)
		must.Eq(t, []uint32{1}, freed())
	})
}

// TestRowsForgottenWithSession guards against a row that counts as free because the agent has lost its session, and with it its rows, while
// the server releases them.
func TestRowsForgottenWithSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hol := newHeartbeatServer(3 * time.Second)
		rows := []*controlpb.Shard{row(1, 5)}
		hol.rows = rows
		hol.sendHeartbeat(t, false)
		freed := hol.revokeAsync(t, rows[0])
		hol.rows = nil
		hol.pieces(t, []HeldRange{{First: 5000, Last: 5000, Token: 5}})
		must.SliceEmpty(t, freed())
		hol.rows = rows
		freed = hol.revokeAsync(t, rows[0])
		hol.pieces(t, []HeldRange{{First: 5000, Last: 5000, Token: 5}})
		must.SliceEmpty(t, freed())
		hol.pieces(t, nil)
		must.Eq(t, []uint32{1}, freed())
	})
}

// TestPartitionsChangeWhileReleasing guards against a partition that is given away because a heartbeat is read by another number of
// partitions than the one by which it was revoked.
func TestPartitionsChangeWhileReleasing(t *testing.T) {
	for name, num := range map[string]uint32{"fewer": 8, "more": 32, "other borders": 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hol, freed := newReleasingServer(t)
				hol.service = keyedService()
				hol.service.Partitions = num
				hol.pieces(t, []HeldRange{{First: 5000, Last: 5000, Token: 5}})
				must.SliceEmpty(t, freed())
				hol.pieces(t, nil)
				must.Eq(t, []uint32{1}, freed())
			})
		})
	}
}

// TestHandoverOfParts guards against losing the handover of a partition whose keys the server has released one after another, and against
// one that covers fewer keys than it could.
func TestHandoverOfParts(t *testing.T) {
	for name, tcs := range map[string]struct {
		released [][]ReleasedRange // by heartbeat
		want     string
	}{
		"whole":                {released: [][]ReleasedRange{{{First: 4096, Last: 8191, Handover: "one"}}}, want: "one"},
		"several partitions":   {released: [][]ReleasedRange{{{First: 0, Last: 16383, Handover: "one"}}}, want: "one"},
		"rest, then the key":   {released: [][]ReleasedRange{{{First: 4096, Last: 4999, Handover: "one"}, {First: 5001, Last: 8191, Handover: "one"}}, {{First: 5000, Last: 5000, Handover: "two"}}}, want: "one"},
		"key, then the rest":   {released: [][]ReleasedRange{{{First: 5000, Last: 5000, Handover: "two"}}, {{First: 5001, Last: 8191, Handover: "one"}}}, want: "one"},
		"key alone":            {released: [][]ReleasedRange{{{First: 5000, Last: 5000, Handover: "two"}}}, want: "two"},
		"reported repeatedly":  {released: [][]ReleasedRange{{{First: 4096, Last: 4100, Handover: "two"}}, {{First: 4096, Last: 4100, Handover: "two"}}, {{First: 4101, Last: 4107, Handover: "one"}}}, want: "one"},
		"of other partitions":  {released: [][]ReleasedRange{{{First: 0, Last: 4095, Handover: "one"}, {First: 8192, Last: 65535, Handover: "one"}}}},
		"neighbour's, in part": {released: [][]ReleasedRange{{{First: 0, Last: 4097, Handover: "one"}, {First: 4098, Last: 4100, Handover: "two"}}}, want: "two"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hol := newHeartbeatServer(3 * time.Second)
				hol.rows = []*controlpb.Shard{row(1, 5)}
				hol.sendHeartbeat(t, false)
				out := make(chan string, 1)
				go func() {
					refs, _ := revoke(t.Context(), hol.cli, []*controlpb.ShardRef{refOf(hol.rows[0])})
					out <- refs[0].GetHandover()
				}()
				synctest.Wait()
				hol.sendHeartbeat(t, false)
				for _, rngs := range tcs.released {
					hol.pieces(t, []HeldRange{{First: 5000, Last: 5000, Token: 5}}, rngs...)
				}
				hol.pieces(t, nil)
				must.Eq(t, tcs.want, <-out)
			})
		})
	}
}

// TestReadHolds guards against ranges of a heartbeat that are not recognized because of their order, their borders or their tokens.
func TestReadHolds(t *testing.T) {
	for name, tcs := range map[string]struct {
		rngs          []HeldRange
		whole, partly map[uint32]uint64
	}{
		"nothing":                      {},
		"whole":                        {rngs: []HeldRange{{4096, 8191, 5}}, whole: map[uint32]uint64{1: 5}},
		"whole in pieces":              {rngs: []HeldRange{{6000, 8191, 5}, {4096, 5999, 5}}, whole: map[uint32]uint64{1: 5}},
		"whole in pieces that overlap": {rngs: []HeldRange{{4096, 7000, 5}, {4100, 4200, 5}, {6000, 8191, 5}}, whole: map[uint32]uint64{1: 5}},
		"pieces of two tokens":         {rngs: []HeldRange{{4096, 5999, 5}, {6000, 8191, 6}}, partly: map[uint32]uint64{1: 6}},
		"under two tokens":             {rngs: []HeldRange{{4096, 8191, 5}, {4096, 8191, 6}}, whole: map[uint32]uint64{1: 6}},
		"part under a newer token":     {rngs: []HeldRange{{5000, 5000, 6}, {4096, 8191, 5}}, whole: map[uint32]uint64{1: 5}},
		"part under an older token":    {rngs: []HeldRange{{5000, 5000, 4}, {4096, 8191, 5}}, whole: map[uint32]uint64{1: 5}},
		"across borders":               {rngs: []HeldRange{{4000, 12288, 5}}, whole: map[uint32]uint64{1: 5, 2: 5}, partly: map[uint32]uint64{0: 5, 3: 5}},
		"all keys":                     {rngs: []HeldRange{{0, 65535, 5}}, whole: map[uint32]uint64{0: 5, 1: 5, 2: 5, 3: 5, 4: 5, 5: 5, 6: 5, 7: 5, 8: 5, 9: 5, 10: 5, 11: 5, 12: 5, 13: 5, 14: 5, 15: 5}},
	} {
		t.Run(name, func(t *testing.T) {
			rep := readHolds(tcs.rngs, heldPartitions)
			must.MapEq(t, tcs.whole, rep.whole)
			must.MapEq(t, tcs.partly, rep.partly)
			must.Eq(t, len(tcs.rngs) == 0, rep.isEmpty())
		})
	}
}

// TestOverlappingRangesReadAgain guards against a heartbeat that takes a time of its ranges times the partitions to read.
func TestOverlappingRangesReadAgain(t *testing.T) {
	for name, all := range map[string]bool{"single keys": false, "overlapping": true} {
		t.Run(name, func(t *testing.T) {
			const partitions, num = 512, 10_000
			visits, cov := 0, newCover(partitions)
			for _, rng := range joinRanges(rangesOf(num, all)) {
				cov.visit(rng.First, rng.Last, func(uint32, bool) { visits++ })
			}
			must.LessEq(t, partitions+2*num, visits)
		})
	}
}

// rangesOf returns as many ranges: single keys with gaps between them, or all keys again and again, each time under another token.
func rangesOf(num int, all bool) []HeldRange {
	if !all {
		return singleKeys(num)
	}
	var out []HeldRange
	for pos := range num {
		out = append(out, HeldRange{Last: siskinrill.NumericKeyCount - 1, Token: uint64(pos) + 1})
	}
	return out
}

// singleKeys returns as many one-key ranges, with gaps between them.
func singleKeys(num int) []HeldRange {
	var out []HeldRange
	for pos := range num {
		key := uint32(pos * siskinrill.NumericKeyCount / num)
		out = append(out, HeldRange{First: key, Last: key, Token: uint64(pos%7) + 1})
	}
	return out
}

// BenchmarkHeartbeatOfRanges measures the time to read a heartbeat while all partitions are being revoked, by its number of ranges.
func BenchmarkHeartbeatOfRanges(b *testing.B) {
	for name, tcs := range map[string]struct {
		num int
		all bool
	}{
		"2000 keys": {num: 2000}, "4000 keys": {num: 4000}, "8000 keys": {num: 8000}, "16000 keys": {num: 16000},
		"2000 overlapping": {num: 2000, all: true}, "16000 overlapping": {num: 16000, all: true},
	} {
		b.Run(name, func(b *testing.B) {
			const partitions = 512
			kys := newKeys()
			ann := &Announcement{ID: "v1", Service: "vitrine", Holds: rangesOf(tcs.num, tcs.all)}
			for _, rng := range ann.Holds {
				ann.Released = append(ann.Released, ReleasedRange{First: rng.First, Last: rng.Last, Handover: "warm"})
			}
			kys.applyHeartbeat(ann, partitions)
			var refs []*controlpb.ShardRef
			for par := range uint32(partitions) {
				refs = append(refs, refOf(row(par, 9)))
			}
			kys.revoke(refs)
			for b.Loop() {
				kys.applyHeartbeat(ann, partitions)
			}
		})
	}
}
