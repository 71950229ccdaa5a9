package siskinrill

import (
	"net/http"
	"time"
)

// KeyGrant is the right to a range of numeric keys, both ends included, under a fencing token.
type KeyGrant struct {
	first, last uint32
	token       uint64
}

// NewKeyGrant returns a grant of the keys from fst to lst.
func NewKeyGrant(fst, lst uint32, tok uint64) KeyGrant {
	return KeyGrant{first: fst, last: lst, token: tok}
}

// First returns the lowest key.
func (grt KeyGrant) First() uint32 { return grt.first }

// Last returns the highest key.
func (grt KeyGrant) Last() uint32 { return grt.last }

// Token returns the fencing token.
func (grt KeyGrant) Token() uint64 { return grt.token }

// GrantCalls writes the calls by which an agent grants keys straight to its backend server, and reads their answers.
type GrantCalls interface {
	// Grant returns a call to the server of an id at a base URL that grants keys for a time from the call's arrival, with what the earlier owner of the keys left.
	Grant(base, upstream string, grt KeyGrant, hold time.Duration, handover string) (*http.Request, error)
	// Release returns a call that takes a grant back.
	Release(base, upstream string, grt KeyGrant) (*http.Request, error)
	// Handover returns what the server left for the next owner, from the answer to a release.
	Handover(res *http.Response) string
}
