package siskinrill

import (
	"net/http"
	"time"
)

// KeyGrant is the right to serve a range of numeric keys, both ends included, under a fencing token.
type KeyGrant struct {
	first, last uint32
	token       uint64
}

// NewKeyGrant returns a grant of the keys from fst to lst.
func NewKeyGrant(fst, lst uint32, tok uint64) KeyGrant {
	return KeyGrant{first: fst, last: lst, token: tok}
}

// First returns the lowest key of the range.
func (grt KeyGrant) First() uint32 { return grt.first }

// Last returns the highest key of the range.
func (grt KeyGrant) Last() uint32 { return grt.last }

// Token returns the fencing token under which the keys are granted.
func (grt KeyGrant) Token() uint64 { return grt.token }

// GrantCalls builds the HTTP requests with which an agent grants keys directly to its backend server, and reads the answers.
type GrantCalls interface {
	// Grant returns a request to the backend server upstream at a base URL. It grants the keys for the hold time, counted
	// from the arrival of the request, and passes on the handover text of their previous owner.
	Grant(base, upstream string, grt KeyGrant, hold time.Duration, handover string) (*http.Request, error)
	// Release returns a request that withdraws a grant.
	Release(base, upstream string, grt KeyGrant) (*http.Request, error)
	// Handover reads the text for the next owner of the keys from the answer to a release.
	Handover(res *http.Response) string
}
