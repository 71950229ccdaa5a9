package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill"
)

const (
	grantPath   = "/keys/grant"
	releasePath = "/keys/release"
	// grantDelay is how long after its arrival a grant is applied whose answer is lost by Faults.LateGrants.
	grantDelay = 2 * time.Second
	// releasePollInterval is the time between two looks at the work on keys that are to be released.
	releasePollInterval = 2 * time.Millisecond
)

// keyRequest is the body of a call that grants keys or takes them back.
type keyRequest struct {
	First    uint32 `json:"first"`
	Last     uint32 `json:"last"`
	Token    uint64 `json:"token"`
	HoldMs   uint32 `json:"hold_ms"`
	Handover string `json:"handover"`
}

// heldKey is what the server knows of one key.
type heldKey struct {
	token        uint64 // under which it is held
	highestToken uint64 // highest one
	heldUntil    time.Time
	running      int
}

// heldKeys are the keys that the server holds by calls.
type heldKeys struct {
	mu       sync.Mutex
	keys     [siskinrill.NumberKeys]heldKey
	releases uint64 // number of releases, for their handovers
}

// grant applies a grant whose hold ends at a time; false means that a higher token was seen on one of its keys.
func (hks *heldKeys) grant(cll keyRequest, until time.Time) bool {
	hks.mu.Lock()
	defer hks.mu.Unlock()
	for key := cll.First; key <= cll.Last; key++ {
		if hks.keys[key].highestToken > cll.Token {
			return false
		}
	}
	for key := cll.First; key <= cll.Last; key++ {
		hky := &hks.keys[key]
		hky.token, hky.highestToken, hky.heldUntil = cll.Token, cll.Token, until
	}
	return true
}

// release ends the hold of keys under a token.
func (hks *heldKeys) release(cll keyRequest) {
	hks.mu.Lock()
	defer hks.mu.Unlock()
	for key := cll.First; key <= cll.Last; key++ {
		if hky := &hks.keys[key]; hky.token <= cll.Token {
			hky.heldUntil = time.Time{}
		}
	}
}

// handoverIfIdle reports whether no request for the keys of a call runs, and returns a text for their next owner then.
func (hks *heldKeys) handoverIfIdle(cll keyRequest) (string, bool) {
	hks.mu.Lock()
	defer hks.mu.Unlock()
	for key := cll.First; key <= cll.Last; key++ {
		if hks.keys[key].running > 0 {
			return "", false
		}
	}
	hks.releases++
	return fmt.Sprintf("%d-%d-%d", cll.First, cll.Last, hks.releases), true
}

// beginRequest counts a request for a key that is held, false for one that is not.
func (hks *heldKeys) beginRequest(key uint32) bool {
	hks.mu.Lock()
	defer hks.mu.Unlock()
	if !time.Now().Before(hks.keys[key].heldUntil) {
		return false
	}
	hks.keys[key].running++
	return true
}

func (hks *heldKeys) endRequest(key uint32) {
	hks.mu.Lock()
	defer hks.mu.Unlock()
	hks.keys[key].running--
}

func readKeyRequest(wri http.ResponseWriter, req *http.Request) (keyRequest, bool) {
	var cll keyRequest
	err := json.NewDecoder(http.MaxBytesReader(wri, req.Body, 64<<10)).Decode(&cll)
	if err != nil || cll.First > cll.Last || cll.Last >= siskinrill.NumberKeys || cll.Token == 0 {
		http.Error(wri, "first, last and token are needed", http.StatusBadRequest)
		return cll, false
	}
	return cll, true
}

// postGrant takes a grant; its time counts from its arrival, also where it is applied late and without an answer.
func (srv *Server) postGrant(wri http.ResponseWriter, req *http.Request) {
	cll, ok := readKeyRequest(wri, req)
	if !ok {
		return
	}
	until := time.Now().Add(time.Duration(cll.HoldMs) * time.Millisecond)
	if srv.faults.nextGrantDelayed() {
		time.AfterFunc(grantDelay, func() {
			if time.Now().Before(until) {
				srv.heldKeys.grant(cll, until)
			}
		})
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !srv.heldKeys.grant(cll, until) {
		wri.WriteHeader(http.StatusConflict)
	}
}

// postRelease stops new work on keys at once, and answers once the work on them has ended.
func (srv *Server) postRelease(wri http.ResponseWriter, req *http.Request) {
	cll, ok := readKeyRequest(wri, req)
	if !ok {
		return
	}
	srv.heldKeys.release(cll)
	tck := time.NewTicker(releasePollInterval)
	defer tck.Stop()
	for {
		if text, idle := srv.heldKeys.handoverIfIdle(cll); idle {
			wri.Header().Set(siskinrill.HeaderHandover, text)
			return
		}
		select {
		case <-tck.C:
		case <-req.Context().Done():
			return
		}
	}
}

// requireHeldKey runs a request while its key is held, and refuses it otherwise with the proof that it did not run.
func (srv *Server) requireHeldKey(next http.HandlerFunc) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		num, err := strconv.ParseUint(req.Header.Get(siskinrill.HeaderKey), 10, 16)
		if err != nil || !srv.heldKeys.beginRequest(uint32(num)) {
			refuse(wri, http.StatusMisdirectedRequest)
			return
		}
		defer srv.heldKeys.endRequest(uint32(num))
		next(wri, req)
	}
}
