package standin

import (
	"sync"
	"time"
)

// warmKeys are the keys in the server's simulated cache; a partition's keys are dropped when it is revoked.
type warmKeys struct {
	mu    sync.Mutex
	limit int
	keys  map[string]map[string]struct{} // by fence partition
	size  int
}

// touch reports whether a key was cached, and adds it; a full cache is emptied first.
func (wrm *warmKeys) touch(part, key string) bool {
	wrm.mu.Lock()
	defer wrm.mu.Unlock()
	if _, ok := wrm.keys[part][key]; ok {
		return true
	}
	if wrm.size >= wrm.limit {
		clear(wrm.keys)
		wrm.size = 0
	}
	if wrm.keys[part] == nil {
		wrm.keys[part] = map[string]struct{}{}
	}
	wrm.keys[part][key] = struct{}{}
	wrm.size++
	return false
}

// dropPartition removes the keys of a revoked partition.
func (wrm *warmKeys) dropPartition(part string) {
	wrm.mu.Lock()
	defer wrm.mu.Unlock()
	wrm.size -= len(wrm.keys[part])
	delete(wrm.keys, part)
}

// coldKeyDelay returns the extra service time of a request for a key that is not cached, and caches the key.
func (srv *Server) coldKeyDelay(part, key string) time.Duration {
	if srv.opt.ColdKey <= 0 || srv.warmKeys.touch(part, key) {
		return 0
	}
	return srv.opt.ColdKey
}
