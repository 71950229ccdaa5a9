package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/siskinrill/siskinrill/internal/fixedseed"
)

// consumed returns how many bytes of dat net/http reads as the head of a request, 0 if they are none.
func consumed(dat []byte) int {
	src := bytes.NewReader(dat)
	buf := bufio.NewReaderSize(src, len(dat)+16)
	if _, err := http.ReadRequest(buf); err != nil {
		return 0
	}
	return len(dat) - src.Len() - buf.Buffered()
}

// requireSameEnd requires that the scanner ends a head where net/http does, however it arrives.
func requireSameEnd(t must.T, dat []byte, step int) {
	var whole, parts Scanner
	end := whole.End(dat)
	if num := consumed(dat); num > 0 {
		must.Eq(t, num, end)
	}
	for pos := 0; pos < len(dat); pos += step {
		if num := parts.End(dat[pos:min(pos+step, len(dat))]); num > 0 {
			must.Eq(t, end, pos+num)
			return
		}
	}
	must.Eq(t, 0, end)
}

// oddHeads are heads on whose end parsers of HTTP disagree.
var oddHeads = []string{
	"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET", "GET / HTTP/1.1\nHost: a\n\nGET", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\n \r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\t\r\nA: b\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\n\n", "GET / HTTP/1.1\r\nHost: a\n\r\n", "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n",
	"GET / HTTP/1.1\r\n Host: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\x00\r\n\r\n",
}

// FuzzScannerEnd guards against a head that ends elsewhere for the scanner than for net/http, so that a request can be smuggled.
func FuzzScannerEnd(f *testing.F) {
	for _, txt := range oddHeads {
		f.Add([]byte(txt), 1)
	}
	f.Fuzz(func(t *testing.T, dat []byte, step int) {
		requireSameEnd(t, dat, 1+(step&0xff))
	})
}

// TestScannerEnd plays heads of the parts on which parsers disagree.
func TestScannerEnd(t *testing.T) {
	parts := []string{"GET / HTTP/1.1", "Host: a", "A: b", "A:", " ", "\t", "\r", "\n", "\r\n", "\r\n", "\r\n", "\r\n\r\n", "\x00", "c"}
	rapid.Check(t, func(rt *rapid.T) {
		txt := strings.Join(rapid.SliceOfN(rapid.SampledFrom(parts), 0, 12).Draw(rt, "parts"), "")
		requireSameEnd(rt, []byte("GET / HTTP/1.1\r\nHost: a\r\n"+txt), rapid.IntRange(1, 9).Draw(rt, "step"))
	})
}

// TestHeadLimits guards against heads over a limit that pass, and heads at the limit that do not, in whatever parts they arrive.
func TestHeadLimits(t *testing.T) {
	lim := Limits{Bytes: 1000, Lines: 20}
	for name, tcs := range map[string]struct {
		head   string
		reason string
	}{
		"at the limit of bytes":  {"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 1000-len("A: \r\n\r\n")) + "\r\n\r\n", ""},
		"over the limit":         {"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 1001-len("A: \r\n\r\n")) + "\r\n\r\n", ReasonBytes},
		"first line at it":       {"GET /" + strings.Repeat("b", 1000-len("GET / HTTP/1.1\r\n")) + " HTTP/1.1\r\nA: b\r\n\r\n", ""},
		"first line over it":     {"GET /" + strings.Repeat("b", 1001-len("GET / HTTP/1.1\r\n")) + " HTTP/1.1\r\nA: b\r\n\r\n", ReasonBytes},
		"at the limit of lines":  {"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 18) + "\r\n", ""},
		"over the limit of them": {"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 19) + "\r\n", ReasonLines},
		"empty lines":            {strings.Repeat("\r\n", 21), ReasonLines},
		"a long body":            {"POST / HTTP/1.1\r\nHost: a\r\n\r\n" + strings.Repeat("\r\n", 5000), ""},
	} {
		t.Run(name, func(t *testing.T) {
			for step := 1; step <= len(tcs.head); step *= 4 {
				mem := NewMemory(1 << 20)
				hea := NewHead(mem)
				must.Eq(t, tcs.reason, addInParts(&hea, tcs.head, step, lim))
			}
		})
	}
}

// addInParts returns the reason for which a head was refused, empty if it was not.
func addInParts(hea *Head, txt string, step int, lim Limits) string {
	rdr := strings.NewReader(txt)
	buf := make([]byte, step)
	for !hea.Complete() {
		num, err := rdr.Read(buf)
		if err == io.EOF {
			return ""
		}
		var hee *HeadError
		if errors.As(hea.Add(buf[:num], lim), &hee) {
			return hee.Reason()
		}
	}
	return ""
}

// TestHeadMemoryReturned guards against memory for heads that is not given back, or given back twice, and against a head of ordinary
// size that is refused because others have taken the memory.
func TestHeadMemoryReturned(t *testing.T) {
	const limit = 1 << 20
	lim := Limits{Bytes: 64 << 10, Lines: 16 << 10}
	rapid.Check(t, func(rt *rapid.T) {
		mem := NewMemory(limit)
		heads := make([]Head, 8)
		for num := range heads {
			heads[num] = NewHead(mem)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"add": func(rt *rapid.T) {
				hea := &heads[rapid.IntRange(0, 7).Draw(rt, "head")]
				txt := strings.Repeat("a:\r\n", rapid.IntRange(1, 1000).Draw(rt, "lines"))
				before := hea.held
				err := hea.Add([]byte(txt), lim)
				must.Eq(rt, err != nil && hea.lines <= lim.Lines, before == hea.held && Cost(hea.size, hea.lines)-FreeCost-before > limit-mem.Used())
				if err != nil {
					hea.Reset()
				}
			},
			"reset": func(rt *rapid.T) { heads[rapid.IntRange(0, 7).Draw(rt, "head")].Reset() },
			"ordinary": func(rt *rapid.T) {
				hea := NewHead(mem)
				must.NoError(rt, hea.Add([]byte("GET / HTTP/1.1\r\n"+strings.Repeat("Name: a value\r\n", 28)+"\r\n"), lim))
			},
			"": func(rt *rapid.T) {
				held := int64(0)
				for num := range heads {
					held += heads[num].held
				}
				must.Eq(rt, held, mem.Used())
				must.LessEq(rt, int64(limit), mem.Used())
			},
		})
	})
}

// TestBodyMemory guards against bodies that take more memory than is left, memory that is not given back, and a large body that is
// refused although it is the only one.
func TestBodyMemory(t *testing.T) {
	mem := NewMemory(bodyStep * bodyCost)
	large := strings.Repeat("a", 3*bodyStep)
	dat, release, err := mem.ReadBody(strings.NewReader(large))
	must.NoError(t, err)
	must.Eq(t, large, string(dat))
	_, other, err := mem.ReadBody(strings.NewReader("a"))
	var boe *BodyError
	must.ErrorAs[*BodyError](t, err, &boe)
	other()
	release()
	must.Eq(t, 0, mem.Used())
	_, release, err = mem.ReadBody(io.MultiReader(strings.NewReader(large), iotest.ErrReader(io.ErrUnexpectedEOF)))
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	release()
	must.Eq(t, 0, mem.Used())
}
