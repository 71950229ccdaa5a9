package deployment

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// inject replaces the faults of a stand-in.
func inject(t *testing.T, url, body string) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url+"/standin/faults", strings.NewReader(body))
	must.NoError(t, err)
	rsp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	must.NoError(t, rsp.Body.Close())
	must.Eq(t, http.StatusOK, rsp.StatusCode)
}

// runningProcesses returns the names of the running processes of a role.
func (dep *deployment) runningProcesses(role string) []string {
	var out []string
	for _, nam := range dep.Names(role, "") {
		if dep.processes[nam].cmd != nil {
			out = append(out, nam)
		}
	}
	return out
}
