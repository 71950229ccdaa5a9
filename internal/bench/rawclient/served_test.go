package rawclient_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/internal/bench/rawclient"
)

const (
	// maxHead is the size in bytes of the largest head that a configuration without limits allows.
	maxHead = 64 << 10
	// ordinaryCallers is the number of callers that send ordinary requests at the same time.
	ordinaryCallers = 150
)

// ordinaryLines are the lines that browsers and libraries send most often.
const ordinaryLines = "User-Agent: Mozilla/5.0 (X11; Linux x86_64; rv:140.0) Gecko/20100101 Firefox/140.0\r\n" +
	"Accept: text/html,application/xhtml+xml,application/xml;q=0.9,*/*;q=0.8\r\nAccept-Language: en-US,en;q=0.5\r\n" +
	"Accept-Encoding: gzip, deflate, br, zstd\r\nConnection: keep-alive\r\nReferer: https://shop.example/\r\n" +
	"Cookie: session=3b7c9f6e2d1a4c58; theme=dark\r\nSec-Fetch-Mode: navigate\r\nDNT: 1\r\n" +
	"traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\nX-Request-Id: 9c41d07be2a35f68\r\n"

// ordinaryHead returns a finished head of ordinary lines and of as many further ones as fit into a size in bytes.
func ordinaryHead(size int) []byte {
	head := append(rawclient.ShortLines(0), ordinaryLines...)
	for num := 0; ; num++ {
		line := fmt.Sprintf("X-Custom-Header-%d: value-%d\r\n", num, num)
		if len(head)+len(line)+len("\r\n") > size {
			return rawclient.Finish(head)
		}
		head = append(head, line...)
	}
}

// ask sends a head on a connection of its own and returns the status of the answer, 0 if there is none.
func ask(addr string, head []byte) int {
	cnn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer cnn.Close()
	if _, err := cnn.Write(head); err != nil {
		return 0
	}
	res, err := http.ReadResponse(bufio.NewReader(cnn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// TestLargestHeadRefused guards against a limit of the heads that a single caller inside the size of heads meets.
func TestLargestHeadRefused(t *testing.T) {
	prc := start(t, 0)
	for name, head := range map[string][]byte{
		"ordinary lines, 16 KiB": ordinaryHead(16 << 10),
		"ordinary lines, 64 KiB": ordinaryHead(maxHead),
		"short lines, 16 KiB":    rawclient.Finish(rawclient.ShortLines(2500)),
		"short lines":            rawclient.Finish(rawclient.ShortLines(maxLines)),
		"one name":               rawclient.Finish(rawclient.OneName("a:", 15000)),
		"long line":              rawclient.Finish(rawclient.OneName("A: "+strings.Repeat("b", 60<<10), 1)),
		"listed in Connection":   rawclient.ListedInConnection(4000),
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, http.StatusOK, ask(prc.address("callers"), head)) })
	}
}

// TestOrdinaryCallersRefused guards against limits that ordinary callers meet when many of them send at the same time.
func TestOrdinaryCallersRefused(t *testing.T) {
	prc := start(t, 0)
	head := string(ordinaryHead(2 << 10))
	var all sync.WaitGroup
	statuses := make([]int, ordinaryCallers)
	for num := range statuses {
		key := fmt.Sprintf("RS-%d", num)
		all.Go(func() { statuses[num] = ask(prc.address("callers"), []byte(strings.Replace(head, "RS-1042", key, 1))) })
	}
	all.Wait()
	for _, sts := range statuses {
		must.Eq(t, http.StatusOK, sts)
	}
}

// TestHeadOverLimit guards against an answer to a head over the limit or to what is not HTTP that tells the caller to try again, and
// against a connection that stays open behind it.
func TestHeadOverLimit(t *testing.T) {
	prc := start(t, 0)
	for name, tcs := range map[string]struct {
		sent   []byte
		status int
	}{
		"too long":          {rawclient.Finish(rawclient.OneName("A: "+strings.Repeat("b", 80<<10), 1)), http.StatusRequestHeaderFieldsTooLarge},
		"too many lines":    {rawclient.Finish(rawclient.OneName("a:", 20000)), http.StatusRequestHeaderFieldsTooLarge},
		"endless":           {rawclient.OneName("a:", 60000), http.StatusRequestHeaderFieldsTooLarge},
		"endless first":     {bytes.Repeat([]byte("a"), 256<<10), http.StatusRequestHeaderFieldsTooLarge},
		"not HTTP":          {[]byte("\x16\x03\x01\x02\r\n\r\n"), http.StatusBadRequest},
		"blank in a name":   {rawclient.Finish(rawclient.OneName("a b: c", 1)), http.StatusBadRequest},
		"no colon":          {rawclient.Finish(rawclient.OneName("abc", 1)), http.StatusBadRequest},
		"different lengths": {rawclient.Finish(rawclient.OneName("Content-Length: 1\r\nContent-Length: 2", 1)), http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			cnn, err := net.Dial("tcp", prc.address("callers"))
			must.NoError(t, err)
			defer cnn.Close()
			go func() { _, _ = cnn.Write(tcs.sent) }()
			buf := bufio.NewReader(cnn)
			res, err := http.ReadResponse(buf, nil)
			must.NoError(t, err)
			must.Eq(t, tcs.status, res.StatusCode)
			must.True(t, res.Close)
			must.Eq(t, "", res.Header.Get("Retry-After"))
			_, _ = io.Copy(io.Discard, res.Body)
			_, err = buf.ReadByte()
			must.Error(t, err)
		})
	}
}
