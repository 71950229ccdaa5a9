package caller

import (
	"net/http"

	"github.com/siskinrill/siskinrill"
)

// Aborted writes the refusal that replaces an answer which was cut before any of it was sent to the caller.
func (han *Handler) Aborted(wri http.ResponseWriter, req *http.Request) {
	han.refuse(wri, req, siskinrill.Unknown(siskinrill.ReasonBackendBadAnswer, nil))
}
