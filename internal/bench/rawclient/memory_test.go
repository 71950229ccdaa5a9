package rawclient_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/siskinrill/siskinrill/internal/bench/rawclient"
)

const (
	// clients is the number of clients that do not behave, which send at the same time.
	clients = 500
	// maxMemory is the memory of the smallest host, in bytes, which no process may exceed.
	maxMemory = 284 << 20
	// playTime is for how long they send or keep their connections.
	playTime = 4 * time.Second
	// maxLines is the number of the shortest lines of different names in a head of less than 64 KiB.
	maxLines = 9000
)

// scripts are what the clients send, by name.
func scripts() map[string]func(num int) rawclient.Script {
	short := rawclient.ShortLines(maxLines)
	sentAhead := bytes.Repeat(rawclient.Finish(rawclient.ShortLines(3000)), 40)
	answered := rawclient.Finish(rawclient.ShortLines(1))
	post := "POST /orders/o1/payment HTTP/1.1\r\nHost: shop.example\r\n"
	odd := rawclient.Odd()
	names := slices.Sorted(maps.Keys(odd))
	same := func(scr rawclient.Script) func(int) rawclient.Script {
		return func(int) rawclient.Script { return scr }
	}
	return map[string]func(num int) rawclient.Script{
		"short lines":            same(rawclient.Script{Start: rawclient.Finish(bytes.Clone(short))}),
		"short lines unfinished": same(rawclient.Script{Start: short}),
		"short lines again and again": same(rawclient.Script{
			Start: rawclient.Finish(bytes.Clone(short)), Redial: true, Repeat: rawclient.Finish(bytes.Clone(short)),
		}),
		"one name":               same(rawclient.Script{Start: rawclient.Finish(rawclient.OneName("a:", 15000))}),
		"one name, blank values": same(rawclient.Script{Start: rawclient.Finish(rawclient.OneName("a: ", 12000))}),
		"long line":              same(rawclient.Script{Start: rawclient.Finish(rawclient.OneName("A: "+strings.Repeat("b", 60<<10), 1))}),
		"long line again and again": same(rawclient.Script{
			Start:  rawclient.Finish(rawclient.OneName("A: "+strings.Repeat("b", 60<<10), 1)),
			Repeat: rawclient.Finish(rawclient.OneName("A: "+strings.Repeat("b", 60<<10), 1)), Redial: true,
		}),
		"lines of middle length": same(rawclient.Script{
			Start:  rawclient.Finish(rawclient.OneName("A: "+strings.Repeat("b", 200), 180)),
			Repeat: rawclient.Finish(rawclient.OneName("A: "+strings.Repeat("b", 200), 180)), Redial: true,
		}),
		"sent ahead":           same(rawclient.Script{Start: sentAhead}),
		"sent ahead, unread":   same(rawclient.Script{Start: sentAhead, Repeat: answered, Unread: true}),
		"listed in Connection": same(rawclient.Script{Start: rawclient.ListedInConnection(4500)}),
		"endless lines":        same(rawclient.Script{Start: rawclient.ShortLines(0), Repeat: bytes.Repeat([]byte("a:\r\n"), 256), Redial: true}),
		"endless line":         same(rawclient.Script{Start: rawclient.ShortLines(1), Repeat: bytes.Repeat([]byte("a"), 1024), Redial: true}),
		"endless first line":   same(rawclient.Script{Start: []byte("GET /"), Repeat: bytes.Repeat([]byte("a"), 1024), Redial: true}),
		"empty lines":          same(rawclient.Script{Repeat: bytes.Repeat([]byte("\r\n"), 512), Redial: true}),
		"empty lines between requests": same(rawclient.Script{
			Start: answered, Repeat: bytes.Repeat([]byte("\r\n"), 512), Redial: true,
		}),
		"empty lines after a POST": same(rawclient.Script{
			Start: []byte(post + "Content-Length: 0\r\n\r\n"), Repeat: bytes.Repeat([]byte("\r\n"), 512), Redial: true,
		}),
		"odd heads": func(num int) rawclient.Script {
			return rawclient.Script{Start: odd[names[num%len(names)]], Redial: true}
		},
		"body not finished": same(rawclient.Script{
			Start: append([]byte(post+"Content-Length: 65536\r\n\r\n"), bytes.Repeat([]byte("b"), 65535)...), Redial: true,
		}),
		"body never sent":      same(rawclient.Script{Start: []byte(post + "Content-Length: 65536\r\n\r\n")}),
		"100-continue unused":  same(rawclient.Script{Start: []byte(post + "Content-Length: 65536\r\nExpect: 100-continue\r\n\r\n")}),
		"endless chunk line":   same(rawclient.Script{Start: []byte(post + "Transfer-Encoding: chunked\r\n\r\n1;"), Repeat: bytes.Repeat([]byte("x"), 1024), Redial: true}),
		"endless small chunks": same(rawclient.Script{Start: []byte(post + "Transfer-Encoding: chunked\r\n\r\n"), Repeat: bytes.Repeat([]byte("1\r\nx\r\n"), 200), Redial: true}),
		"endless trailers":     same(rawclient.Script{Start: []byte(post + "Transfer-Encoding: chunked\r\n\r\n0\r\n"), Repeat: bytes.Repeat([]byte("a:\r\n"), 256), Redial: true}),
	}
}

// TestHeadsEndProcess guards against clients whose heads or bodies, each of legal size or without end, together end a process by
// its memory, or keep it from answering ordinary requests afterwards.
func TestHeadsEndProcess(t *testing.T) {
	for name, script := range scripts() {
		t.Run(name, func(t *testing.T) { requireBounded(t, "callers", script) })
	}
}

// TestHeadsElsewhereEndProcess guards against the same at the other addresses of a process.
func TestHeadsElsewhereEndProcess(t *testing.T) {
	all := scripts()
	for _, listener := range []string{"admin", "backend", "control admin", "stand-in"} {
		for _, name := range []string{"short lines", "short lines unfinished", "endless lines", "body not finished"} {
			t.Run(listener+", "+name, func(t *testing.T) { requireBounded(t, listener, all[name]) })
		}
	}
}

// TestStreamHeadsEndProcess guards against the same at the addresses for other processes, which speak HTTP/2.
func TestStreamHeadsEndProcess(t *testing.T) {
	script := streams(t, 20, 6000)
	for _, listener := range []string{"peers", "control"} {
		t.Run(listener, func(t *testing.T) {
			requireBounded(t, listener, func(int) rawclient.Script { return script })
		})
	}
}

// TestBodiesElsewhereEndProcess guards against bodies of legal size of operators' requests and announcements, finished or not, that
// together end a process by its memory.
func TestBodiesElsewhereEndProcess(t *testing.T) {
	const size = 8 << 20
	apply := fmt.Appendf(nil, "POST /v1/config HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", size)
	unfinished := append(bytes.Clone(apply), bytes.Repeat([]byte(" "), size-1)...)
	empty := append(bytes.Clone(apply), bytes.Repeat([]byte("{},"), size/3+1)[:size]...)
	announce := append([]byte("POST /announce HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n\r\n"), bytes.Repeat([]byte(" "), 65535)...)
	for name, tcs := range map[string]struct {
		listener string
		sent     []byte
	}{
		"admin, not finished":         {"admin", unfinished},
		"admin, not valid":            {"admin", empty},
		"control admin, not finished": {"control admin", unfinished},
		"backend, not finished":       {"backend", announce},
	} {
		t.Run(name, func(t *testing.T) {
			requireBounded(t, tcs.listener, func(int) rawclient.Script { return rawclient.Script{Start: tcs.sent} })
		})
	}
}

// requireBounded plays clients at an address and requires that the process lives within the memory of its host and answers
// afterwards.
func requireBounded(t *testing.T, listener string, script func(num int) rawclient.Script) {
	prc := start(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), playTime)
	defer cancel()
	rawclient.Run(ctx, prc.address(listener), clients, script)
	prc.requireAlive(t)
	prc.requireAnswer(t)
	prc.requirePeak(t, maxMemory)
}

// streams returns a script that opens a number of HTTP/2 streams with heads of a number of short fields.
func streams(t *testing.T, num, fields int) rawclient.Script {
	const maxFrame = 16 << 10
	var buf, block bytes.Buffer
	buf.WriteString(http2.ClientPreface)
	frm := http2.NewFramer(&buf, nil)
	must.NoError(t, frm.WriteSettings())
	enc := hpack.NewEncoder(&block)
	for idt := range num {
		block.Reset()
		for _, fld := range []hpack.HeaderField{
			{Name: ":method", Value: "POST"},
			{Name: ":scheme", Value: "http"},
			{Name: ":path", Value: "/siskinrill.peer.PeerService/Forward"},
			{Name: ":authority", Value: "a"},
			{Name: "content-type", Value: "application/grpc"},
			{Name: "te", Value: "trailers"},
		} {
			must.NoError(t, enc.WriteField(fld))
		}
		for range fields {
			must.NoError(t, enc.WriteField(hpack.HeaderField{Name: "a", Value: ""}))
		}
		idt := uint32(2*idt + 1)
		part := block.Next(maxFrame)
		must.NoError(t, frm.WriteHeaders(http2.HeadersFrameParam{StreamID: idt, BlockFragment: part, EndHeaders: block.Len() == 0}))
		for block.Len() > 0 {
			part = block.Next(maxFrame)
			must.NoError(t, frm.WriteContinuation(idt, block.Len() == 0, part))
		}
	}
	return rawclient.Script{Start: buf.Bytes()}
}
