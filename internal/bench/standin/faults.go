package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
)

// Faults are the faults in force; the counts apply to the next requests.
type Faults struct {
	// Frozen stops all work and the announcements until it is lifted; what was waiting then goes on.
	Frozen bool `json:"frozen"`
	// SlowFactor multiplies the service time; 0 and 1: not slow.
	SlowFactor float64 `json:"slow_factor"`
	// Refuse closes the listener for requests; the control listener stays open.
	Refuse bool `json:"refuse"`
	// FailRate is the share of requests that run and are answered with 500.
	FailRate float64 `json:"fail_rate"`
	// ShedRate is the share of requests that are refused without a run.
	ShedRate float64 `json:"shed_rate"`
	// CutAnswers is the number of answers that end in the middle.
	CutAnswers int `json:"cut_answers"`
	// DuplicateRuns is the number of requests that run twice.
	DuplicateRuns int `json:"duplicate_runs"`
	// LoseAnswers is the number of requests that run and get no answer.
	LoseAnswers int `json:"lose_answers"`
	// CutRequests is the number of requests whose connection is closed before they run.
	CutRequests int `json:"cut_requests"`
	// LateGrants is the number of grants of keys that get no answer and are applied 2 s late.
	LateGrants int `json:"late_grants"`
	// MisleadHealth makes the health endpoint and the announcements go on as if all was well.
	MisleadHealth bool `json:"mislead_health"`
	// MisleadLoad makes the load endpoint report an idle server.
	MisleadLoad bool `json:"mislead_load"`
}

// faultState holds the faults in force.
type faultState struct {
	mu       sync.Mutex
	faults   Faults
	unfrozen chan struct{} // closed while not frozen
	rnd      *rand.Rand
}

func newFaultState(seed uint64) *faultState {
	fst := &faultState{unfrozen: make(chan struct{}), rnd: rand.New(rand.NewPCG(seed, seed))}
	close(fst.unfrozen)
	return fst
}

func (fst *faultState) set(flt Faults) {
	fst.mu.Lock()
	defer fst.mu.Unlock()
	switch {
	case flt.Frozen && !fst.faults.Frozen:
		fst.unfrozen = make(chan struct{})
	case !flt.Frozen && fst.faults.Frozen:
		close(fst.unfrozen)
	}
	fst.faults = flt
}

func (fst *faultState) get() Faults {
	fst.mu.Lock()
	defer fst.mu.Unlock()
	return fst.faults
}

// waitWhileFrozen blocks while the server is frozen, however long the client waits; it ends only with the server.
func (fst *faultState) waitWhileFrozen(ctx context.Context) {
	for {
		fst.mu.Lock()
		unfrozen, frozen := fst.unfrozen, fst.faults.Frozen
		fst.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-unfrozen:
		case <-ctx.Done():
			return
		}
	}
}

// chance draws with a probability.
func (fst *faultState) chance(rate float64) bool {
	if rate <= 0 {
		return false
	}
	fst.mu.Lock()
	defer fst.mu.Unlock()
	return fst.rnd.Float64() < rate
}

// drawNormal draws from the standard normal distribution.
func (fst *faultState) drawNormal() float64 {
	fst.mu.Lock()
	defer fst.mu.Unlock()
	return fst.rnd.NormFloat64()
}

// injection is what is injected into one run.
type injection struct {
	truncateAnswer bool
	duplicate      bool
	dropAnswer     bool
}

// faultName returns the fault for the ledger.
func (inj injection) faultName() string {
	switch {
	case inj.duplicate:
		return "duplicate_run"
	case inj.dropAnswer:
		return "lost_answer"
	case inj.truncateAnswer:
		return "cut_answer"
	default:
		return ""
	}
}

// nextInjection takes the next counted faults.
func (fst *faultState) nextInjection() injection {
	fst.mu.Lock()
	defer fst.mu.Unlock()
	return injection{
		truncateAnswer: decrement(&fst.faults.CutAnswers), duplicate: decrement(&fst.faults.DuplicateRuns), dropAnswer: decrement(&fst.faults.LoseAnswers),
	}
}

func (fst *faultState) nextRequestAborted() bool {
	fst.mu.Lock()
	defer fst.mu.Unlock()
	return decrement(&fst.faults.CutRequests)
}

func decrement(num *int) bool {
	if *num <= 0 {
		return false
	}
	*num--
	return true
}

// SetFaults puts faults in force in place of the earlier ones; an error means that the listener could not be opened again.
func (srv *Server) SetFaults(flt Faults) error {
	srv.faults.set(flt)
	return srv.setListening(!flt.Refuse)
}

// Faults returns the faults in force, with the counts that are left.
func (srv *Server) Faults() Faults { return srv.faults.get() }

func (srv *Server) putFaults(wri http.ResponseWriter, req *http.Request) {
	flt := Faults{}
	if err := json.NewDecoder(req.Body).Decode(&flt); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	if err := srv.SetFaults(flt); err != nil {
		http.Error(wri, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(wri, http.StatusOK, map[string]string{"control": srv.ControlURL()})
}

// nextGrantDelayed reports whether the next grant of keys is to be applied late, and counts it.
func (fst *faultState) nextGrantDelayed() bool {
	fst.mu.Lock()
	defer fst.mu.Unlock()
	if fst.faults.LateGrants <= 0 {
		return false
	}
	fst.faults.LateGrants--
	return true
}
