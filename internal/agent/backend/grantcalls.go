package backend

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
)

// Paths of the calls to a backend server that grant and release keys.
const (
	GrantPath   = "/keys/grant"
	ReleasePath = "/keys/release"
)

// KeyCall is the JSON body of a call to GrantPath or ReleasePath.
type KeyCall struct {
	First uint32 `json:"first"`
	Last  uint32 `json:"last"`
	Token uint64 `json:"token"`
	// HoldMs is the hold in milliseconds from the arrival of the call; grants only.
	HoldMs uint32 `json:"hold_ms,omitempty"`
	// Handover is the state passed on by the previous owner of the keys; grants only.
	Handover string `json:"handover,omitempty"`
}

// defaultGrantCalls builds siskinrill's own grant and release calls.
type defaultGrantCalls struct{}

var _ siskinrill.GrantCalls = defaultGrantCalls{}

// Grant returns a POST to GrantPath.
func (defaultGrantCalls) Grant(base, upstream string, grt siskinrill.KeyGrant, hold time.Duration, handover string) (*http.Request, error) {
	return NewKeyCall(base+GrantPath, siskinrill.HeaderUpstream, upstream, KeyCall{
		First: grt.First(), Last: grt.Last(), Token: grt.Token(), HoldMs: uint32(hold.Milliseconds()), Handover: handover,
	})
}

// Release returns a POST to ReleasePath.
func (defaultGrantCalls) Release(base, upstream string, grt siskinrill.KeyGrant) (*http.Request, error) {
	return NewKeyCall(base+ReleasePath, siskinrill.HeaderUpstream, upstream, KeyCall{First: grt.First(), Last: grt.Last(), Token: grt.Token()})
}

// Handover returns the header Siskinrill-Handover.
func (defaultGrantCalls) Handover(res *http.Response) string {
	return res.Header.Get(siskinrill.HeaderHandover)
}

// NewKeyCall returns a POST of a JSON body to a backend server, whose id a header carries; loc is the complete URL.
func NewKeyCall(loc, header, upstream string, bdy any) (*http.Request, error) {
	buf, err := json.Marshal(bdy)
	if err != nil {
		return nil, errors.Wrap(err, "encode key call")
	}
	req, err := http.NewRequest(http.MethodPost, loc, bytes.NewReader(buf))
	if err != nil {
		return nil, errors.Wrap(err, "create key call")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(header, upstream)
	return req, nil
}
