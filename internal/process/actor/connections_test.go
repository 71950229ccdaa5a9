package actor

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// TestManyConnections guards against callers that leave a connection idle with each try, until the process has no descriptor left (on bassma-hq scale-2 an agent then read requests 5 s late, when their callers had gone).
func TestManyConnections(t *testing.T) {
	con := &connections{states: map[net.Conn]http.ConnState{}, spare: 2}
	hdl := con.closing(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for num, want := range []string{"", "", "close", "close"} {
		one, two := net.Pipe()
		defer one.Close()
		defer two.Close()
		con.note(one, http.StateActive)
		rec := httptest.NewRecorder()
		hdl.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", nil))
		must.Eq(t, want, rec.Header().Get("Connection"), must.Sprintf("%d connections", num+1))
	}
}
