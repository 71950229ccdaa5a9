package hopheader_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/internal/wire/hopheader"
)

// TestNames guards against fields of a connection that are forwarded, however Connection lists them, and others that are not.
func TestNames(t *testing.T) {
	hdr := http.Header{
		"Connection": {"close, X-One", " x-two ,,keep-alive", "\tX-Three"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"},
		"Te": {"trailers"}, "Content-Length": {"2"}, "Proxy-Authorization": {"a"}, "X-Kept": {"4"}, "Close": {"5"},
	}
	nms := hopheader.Of(hdr["Connection"])
	for _, name := range []string{"X-One", "X-Two", "X-Three", "Te", "Connection", "Upgrade"} {
		must.True(t, nms.Has(name), must.Sprint(name))
	}
	must.False(t, nms.Has("X-Kept"))
	hopheader.Drop(hdr)
	must.Eq(t, http.Header{"X-Kept": {"4"}, "Close": {"5"}}, hdr)
}

// workFor returns the least time of several tries to tell the names of a header of a number of fields that Connection all lists.
func workFor(fields int) time.Duration {
	list := make([]string, fields)
	for num := range list {
		list[num] = fmt.Sprintf("Y-%d", num)
	}
	connection := []string{strings.Join(list, ",")}
	least := time.Hour
	for range 9 {
		begin := time.Now()
		nms := hopheader.Of(connection)
		for _, name := range list {
			nms.Has(name)
		}
		least = min(least, time.Since(begin))
	}
	return least
}

// TestWorkOfListedNames guards against work for each pair of a field and a name in Connection, with which one head of 64 KiB keeps a
// processor busy for seconds.
func TestWorkOfListedNames(t *testing.T) {
	const (
		few, times = 500, 16
		// maxGrowth is between the growth of work for each name, times, and of that for each pair, times * times.
		maxGrowth = times * times / 4
	)
	growth := float64(workFor(few*times)) / float64(workFor(few))
	t.Logf("work grows %.1f times", growth)
	must.Less(t, float64(maxGrowth), growth)
}
