package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill"
)

// fences holds the highest fencing token received for each partition.
type fences struct {
	mu     sync.Mutex
	newest map[string]uint64
}

// check reports whether the fencing headers of a request permit it to run, and records a higher token.
func (fns *fences) check(req *http.Request) bool {
	part := req.Header.Get(siskinrill.HeaderFencePartition)
	tok := fenceToken(req)
	if part == "" || tok == 0 {
		return false
	}
	exp, err := strconv.ParseInt(req.Header.Get(siskinrill.HeaderFenceExpires), 10, 64)
	if err != nil || time.Now().UnixMilli() >= exp {
		return false
	}
	fns.mu.Lock()
	defer fns.mu.Unlock()
	if tok < fns.newest[part] {
		return false
	}
	fns.newest[part] = tok
	return true
}

func fenceToken(req *http.Request) uint64 {
	tok, err := strconv.ParseUint(req.Header.Get(siskinrill.HeaderFenceToken), 10, 64)
	if err != nil {
		return 0
	}
	return tok
}

// raiseToken records a token from a grant, so that requests of earlier owners are refused before the new owner sends one.
func (fns *fences) raiseToken(part string, tok uint64) {
	fns.mu.Lock()
	defer fns.mu.Unlock()
	fns.newest[part] = max(fns.newest[part], tok)
}

// Grant is one shard in the agent's report of granted and revoked shards.
type Grant struct {
	Partition string `json:"partition"`
	Token     uint64 `json:"token"`
}

func (srv *Server) putGrants(wri http.ResponseWriter, req *http.Request) {
	srv.faults.waitWhileFrozen(srv.ctx)
	body := struct {
		Granted []Grant `json:"granted"`
		Revoked []Grant `json:"revoked"`
	}{}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	srv.mu.Lock()
	for _, grt := range body.Revoked {
		if srv.granted[grt.Partition] <= grt.Token {
			delete(srv.granted, grt.Partition)
		}
	}
	for _, grt := range body.Granted {
		srv.granted[grt.Partition] = grt.Token
	}
	srv.mu.Unlock()
	for _, grt := range body.Revoked {
		srv.warmKeys.dropPartition(grt.Partition)
	}
	for _, grt := range body.Granted {
		srv.fences.raiseToken(grt.Partition, grt.Token)
	}
	wri.WriteHeader(http.StatusNoContent)
}

// Granted returns the fencing tokens of the shards granted to this server by its agent, keyed by SERVICE/PARTITION.
func (srv *Server) Granted() map[string]uint64 {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	toks := make(map[string]uint64, len(srv.granted))
	for part, tok := range srv.granted {
		toks[part] = tok
	}
	return toks
}
