package caller

import (
	"net/http"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

// HeadRefused returns a handler that refuses a request whose head was not accepted, so that it did not run.
func (han *Handler) HeadRefused(hee *ingress.HeadError) http.Handler {
	rsn := siskinrill.ReasonHeadTooLarge
	if hee.Status() == http.StatusServiceUnavailable {
		rsn = siskinrill.ReasonHeadMemory
	}
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		han.refuse(wri, req, siskinrill.NotRun(rsn))
	})
}
