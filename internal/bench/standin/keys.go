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
	// grantDelay is the time from the arrival of a grant until it is applied under Faults.LateGrants.
	grantDelay = 2 * time.Second
	// releasePollInterval is the time between checks whether requests for released keys still run.
	releasePollInterval = 2 * time.Millisecond
)

// keyRequest is the body of a request to grant or release the keys from First to Last.
type keyRequest struct {
	First    uint32 `json:"first"`
	Last     uint32 `json:"last"`
	Token    uint64 `json:"token"`
	HoldMs   uint32 `json:"hold_ms"`
	Handover string `json:"handover"`
}

// heldKey is the state of one key.
type heldKey struct {
	token        uint64 // of the current hold
	highestToken uint64 // received for this key
	heldUntil    time.Time
	running      int
	leftOut      bool // an answer to an announcement has left it out, and it is not released yet
}

// heldKeys are the keys that the server holds through /keys/grant and /keys/release, or by the answers to its announcements.
type heldKeys struct {
	mu         sync.Mutex
	keys       [siskinrill.NumericKeyCount]heldKey
	releases   uint64          // count, makes each handover text unique
	released   []releasedRange // to be announced
	singleKeys bool            // releases single keys, see Options.KeepsSingleKeys
}

// grant applies a grant with a hold that ends at until; it returns false if one of the keys had a higher token.
func (hks *heldKeys) grant(cll keyRequest, until time.Time) bool {
	hks.mu.Lock()
	defer hks.mu.Unlock()
	return hks.take(cll.First, cll.Last, cll.Token, until)
}

// take is grant for a caller that holds the mutex.
func (hks *heldKeys) take(first, last uint32, tok uint64, until time.Time) bool {
	for key := first; key <= last; key++ {
		if hks.keys[key].highestToken > tok {
			return false
		}
	}
	for key := first; key <= last; key++ {
		hky := &hks.keys[key]
		hky.token, hky.highestToken, hky.heldUntil, hky.leftOut = tok, tok, until, false
	}
	return true
}

// release ends the holds of the keys whose token is not higher than that of the request.
func (hks *heldKeys) release(cll keyRequest) {
	hks.mu.Lock()
	defer hks.mu.Unlock()
	for key := cll.First; key <= cll.Last; key++ {
		if hky := &hks.keys[key]; hky.token <= cll.Token {
			hky.heldUntil = time.Time{}
		}
	}
}

// handoverIfIdle returns a handover text for the next owner, or false while a request for one of the keys runs.
func (hks *heldKeys) handoverIfIdle(cll keyRequest) (string, bool) {
	hks.mu.Lock()
	defer hks.mu.Unlock()
	for key := cll.First; key <= cll.Last; key++ {
		if hks.keys[key].running > 0 {
			return "", false
		}
	}
	return hks.newHandover(cll.First, cll.Last), true
}

// newHandover returns the handover text of released keys; the caller holds the mutex.
func (hks *heldKeys) newHandover(first, last uint32) string {
	hks.releases++
	return fmt.Sprintf("%d-%d-%d", first, last, hks.releases)
}

// beginRequest counts a running request for a key, or returns false if the key is not held.
func (hks *heldKeys) beginRequest(key uint32) bool {
	hks.mu.Lock()
	defer hks.mu.Unlock()
	if hks.keys[key].leftOut || !time.Now().Before(hks.keys[key].heldUntil) {
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
	if err != nil || !siskinrill.ValidKeyRange(cll.First, cll.Last) || cll.Token == 0 {
		http.Error(wri, "first, last and token are needed", http.StatusBadRequest)
		return cll, false
	}
	return cll, true
}

// postGrant applies a grant; the hold time counts from its arrival, even if a fault delays it and omits the answer.
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

// postRelease refuses new requests for the keys immediately, and answers when no running request remains.
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

// requireHeldKey passes on requests for held keys, and refuses others with 421 and the header that states they did
// not run.
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
