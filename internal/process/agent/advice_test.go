package agent_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
	"github.com/siskinrill/siskinrill/internal/bench/standin"
	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/process/actor"
	"github.com/siskinrill/siskinrill/internal/process/agent"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// setupTimeout is the time for what is no part of the promise under test; several fleets start at once.
	setupTimeout = time.Minute
	// testedHost is the host of the route.
	testedHost = "tested.example"
	// statedLimit is the rate limit that a stand-in states, in requests a second.
	statedLimit = 1.0
	// slowFactor makes a run take 400 ms, so that a restarted agent could start many requests before the first answer.
	slowFactor = 80
	// limitWindow is the time over which the limit is checked.
	limitWindow = 4 * time.Second
	// limitGrace is the time after the limit was first stated from which it is checked.
	limitGrace = 3 * time.Second
	// leavingGrace is the time after an answer that states that a server is leaving from which it must get no requests.
	leavingGrace = 3 * time.Second
	// requestInterval is the time between two requests at each agent.
	requestInterval = 100 * time.Millisecond
	// refusalTime is the maximum time in which a request must be refused that cannot be served.
	refusalTime = 700 * time.Millisecond
)

// cutSwitch holds back what passes connections while it is set, as a silent cut of the network does.
type cutSwitch struct {
	mu     sync.Mutex
	healed chan struct{} // closed while there is no cut
}

func newCutSwitch() *cutSwitch {
	csw := &cutSwitch{healed: make(chan struct{})}
	close(csw.healed)
	return csw
}

func (csw *cutSwitch) cut() {
	csw.mu.Lock()
	defer csw.mu.Unlock()
	csw.healed = make(chan struct{})
}

func (csw *cutSwitch) heal() {
	csw.mu.Lock()
	defer csw.mu.Unlock()
	close(csw.healed)
}

func (csw *cutSwitch) wait() {
	csw.mu.Lock()
	healed := csw.healed
	csw.mu.Unlock()
	<-healed
}

// cutListener accepts connections that obey a cutSwitch.
type cutListener struct {
	net.Listener
	cut *cutSwitch
}

func (cli *cutListener) Accept() (net.Conn, error) {
	cnn, err := cli.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: cnn, cut: cli.cut}, nil
}

type cutConn struct {
	net.Conn
	cut *cutSwitch
}

func (ccn *cutConn) Read(buf []byte) (int, error) {
	num, err := ccn.Conn.Read(buf)
	ccn.cut.wait()
	return num, err
}

func (ccn *cutConn) Write(buf []byte) (int, error) {
	ccn.cut.wait()
	return ccn.Conn.Write(buf)
}

// member is an agent with a stand-in beside it.
type member struct {
	peers    *cutSwitch // of the connections from other agents
	settings settings.Agent
	backend  string // IP:port of the listener for announcements
	url      string // of the callers' listener
	standin  *standin.Server
	agent    *agent.Process
	stop     func()
	ended    chan error
}

// fleet is a control process with three agents, of which the first two have backend servers of the service under test.
type fleet struct {
	stopControl func()
	members     []*member
}

func startFleet(t *testing.T, svc *controlpb.Service) *fleet {
	flt := &fleet{}
	ctl, stop := startControl(t)
	flt.stopControl = stop
	for num, name := range []string{svc.GetName(), svc.GetName(), "other"} {
		flt.members = append(flt.members, startMember(t, num+1, name, ctl, svc))
	}
	flt.configure(t, ctl, svc)
	return flt
}

func startMember(t *testing.T, num int, svc, ctl string, tested *controlpb.Service) *member {
	mem := &member{peers: newCutSwitch(), settings: settings.Agent{
		Place: settings.Place{Name: fmt.Sprintf("agent-%d", num), Zone: "a", Region: "r"}, Control: []string{ctl}, KeepKeys: true,
		CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", BackendListen: "127.0.0.1:0",
		Freshness: time.Hour, DrainGrace: leavingGrace - 500*time.Millisecond, Pipelined: 8,
	}}
	mem.settings.Admin.Listen = "127.0.0.1:0"
	mem.start(t)
	srv, err := standin.New(mem.standinOptions(num, svc, tested))
	must.NoError(t, err)
	t.Cleanup(srv.Close)
	run(t, srv.Run)
	mem.standin = srv
	return mem
}

// standinOptions returns the options of the stand-in beside the agent with a number.
func (mem *member) standinOptions(num int, svc string, tested *controlpb.Service) standin.Options {
	return standin.Options{
		ID: fmt.Sprintf("%s-%d", svc, num), Service: svc, Agent: mem.backend, Median: 5 * time.Millisecond,
		CheckFence: tested.GetKeyMode() != controlpb.KeyMode_KEY_MODE_NONE, // without keys there are no fencing tokens
		HoldsKeys:  svc == tested.GetName() && tested.GetCarrier() == controlpb.Carrier_CARRIER_DIRECT,
	}
}

// start starts the agent, at its previous addresses for callers and for the backend server if it has run before.
func (mem *member) start(t *testing.T) {
	cal, err := actor.Listen(mem.settings.CallerListen)
	must.NoError(t, err)
	bck, err := actor.Listen(mem.settings.BackendListen)
	must.NoError(t, err)
	mem.settings.CallerListen, mem.settings.BackendListen = cal.Addr().String(), bck.Addr().String()
	mem.url, mem.backend = "http://"+cal.Addr().String(), bck.Addr().String()
	peers, err := actor.Listen(mem.settings.PeerListen)
	must.NoError(t, err)
	mem.agent, err = agent.New(agent.Options{
		Settings: mem.settings, Callers: cal, Backend: bck, Peers: &cutListener{Listener: peers, cut: mem.peers}, Logger: discardLog(),
	})
	must.NoError(t, err)
	mem.stop, mem.ended = run(t, mem.agent.Run)
}

func (mem *member) restart(t *testing.T) {
	mem.stop()
	<-mem.ended
	mem.start(t)
}

func (flt *fleet) configure(t *testing.T, ctl string, svc *controlpb.Service) {
	opr := adminhttp.NewOperator(ctl)
	defer opr.Close()
	cfg := &controlpb.Configuration{Number: 1, Services: []*controlpb.Service{svc, {Name: "other", Partitions: 16}}}
	cfg.Routes = append(cfg.Routes, &controlpb.Route{
		Name: "tested", Host: testedHost, Prefix: "/tested/", Service: svc.GetName(),
		Kind: controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT, TimeoutMs: 1500, TargetLatencyMs: 300,
	})
	for _, mem := range flt.members {
		awaitWithin(t, setupTimeout, func() bool { return mem.agent.Ready() == nil && mem.agent.ReadyForCallers() == nil })
	}
	req := &controlpb.ApplyRequest{ChangeId: uuid.NewString(), Configuration: cfg, Operator: "test", WaitMs: uint32(applyTimeout.Milliseconds())}
	awaitWithin(t, setupTimeout, func() bool {
		ans, err := opr.Apply(t.Context(), req)
		return err == nil && ans.GetRecord().GetAccepted() && ans.GetInForce()
	})
}

// observation is the result of a request.
type observation struct {
	sent    time.Time
	ended   time.Time
	status  int
	outcome string
	body    string
	stated  bool // the answer came from a backend server and carried the header that the test looks for
}

// observations are the results of all requests.
type observations struct {
	mu   sync.Mutex
	list []observation
}

func (obs *observations) since(start time.Time) []observation {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(obs.list), func(one observation) bool { return one.sent.Before(start) })
}

// firstStated returns when the first answer with the header arrived, the zero time if none has.
func (obs *observations) firstStated() time.Time {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	var first time.Time
	for _, one := range obs.list {
		if one.stated && (first.IsZero() || one.ended.Before(first)) {
			first = one.ended
		}
	}
	return first
}

// load sends requests for all keys at all agents until the context ends; header is one that answers are checked for.
func (flt *fleet) load(ctx context.Context, header string) *observations {
	obs := &observations{}
	for pos, mem := range flt.members {
		url := mem.url
		go func() {
			tck := time.NewTicker(requestInterval)
			defer tck.Stop()
			for num := 0; ; num++ {
				select {
				case <-ctx.Done():
					return
				case <-tck.C:
					go obs.request(ctx, url, fmt.Sprintf("%s-%d", mem.settings.Name, num), strconv.Itoa((num*7919+pos*101)%65536), header)
				}
			}
		}()
	}
	return obs
}

func (obs *observations) request(ctx context.Context, url, id, key, header string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/tested/item", nil)
	if err != nil {
		return
	}
	req.Host = testedHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set(siskinrill.HeaderKey, key)
	one := observation{sent: time.Now()}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return // the agent is being restarted, or the test ends
	}
	body, _ := io.ReadAll(res.Body)
	_ = res.Body.Close()
	one.body = string(body)
	one.ended, one.status, one.outcome = time.Now(), res.StatusCode, res.Header.Get(siskinrill.HeaderOutcome)
	one.stated = res.Header.Get(header) != ""
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.list = append(obs.list, one)
}

func testedServices() map[string]*controlpb.Service {
	return map[string]*controlpb.Service{
		"text keys":     {Name: "tested", Partitions: 64, RampMs: 1},
		"without keys":  {Name: "tested", KeyMode: controlpb.KeyMode_KEY_MODE_NONE, RampMs: 1},
		"direct grants": {Name: "tested", Partitions: 64, KeyMode: controlpb.KeyMode_KEY_MODE_NUMBER, Carrier: controlpb.Carrier_CARRIER_DIRECT, RampMs: 1},
	}
}

// disturbance is what happens to the fleet while a backend server states something.
type disturbance struct {
	do       func(t *testing.T, flt *fleet)
	disturbs bool // do has an effect
	// restarts means that requests that began at the agent of the server do not count: it has forgotten what it has
	// passed on, and learns it again with the first answer or request of another agent.
	restarts bool
}

func disturbances() map[string]disturbance {
	return map[string]disturbance{
		"undisturbed": {do: func(*testing.T, *fleet) {}},
		"agent of the server restarts twice": {disturbs: true, restarts: true, do: func(t *testing.T, flt *fleet) {
			flt.members[0].restart(t)
			time.Sleep(1500 * time.Millisecond)
			flt.members[0].restart(t)
		}},
		"control lost": {disturbs: true, do: func(_ *testing.T, flt *fleet) { flt.stopControl() }},
		"agent of the server cut off from the others": {disturbs: true, do: func(_ *testing.T, flt *fleet) {
			for range 2 {
				flt.members[0].peers.cut()
				time.Sleep(1200 * time.Millisecond)
				flt.members[0].peers.heal()
				time.Sleep(600 * time.Millisecond)
			}
		}},
	}
}

// counted returns the runs of the first member's backend server that count under a disturbance.
func (flt *fleet) counted(t *testing.T, dst disturbance) []standin.Row {
	all := flt.members[0].standin.Ledger(0, 100_000)
	if !dst.restarts {
		return all
	}
	prefix := flt.members[0].settings.Name + "-"
	rows := slices.DeleteFunc(slices.Clone(all), func(row standin.Row) bool { return strings.HasPrefix(row.RequestID, prefix) })
	t.Logf("%d of %d runs began at the restarted agent", len(all)-len(rows), len(all))
	return rows
}

// requireEarlyRefusals fails if a request that was sent after start was refused only after refusalTime.
func (obs *observations) requireEarlyRefusals(t *testing.T, start time.Time) {
	for _, one := range obs.since(start) {
		took := one.ended.Sub(one.sent)
		must.False(t, one.outcome == "not_run" && took > refusalTime, must.Sprintf("refused after %s: %s", took, one.body))
	}
}

// eachDisturbance runs a test with a fleet under load for each kind of service and each disturbance; header is one that answers
// are checked for.
func eachDisturbance(t *testing.T, header string, test func(t *testing.T, flt *fleet, obs *observations, dst disturbance)) {
	for svcName, svc := range testedServices() {
		for name, dst := range disturbances() {
			t.Run(svcName+", "+name, func(t *testing.T) {
				t.Parallel()
				flt := startFleet(t, svc)
				obs := flt.load(t.Context(), header)
				await(t, func() bool {
					return len(flt.members[0].standin.Ledger(0, 100)) >= 20 && len(flt.members[1].standin.Ledger(0, 100)) >= 20
				})
				test(t, flt, obs, dst)
			})
		}
	}
}

// stateInAnswers makes the first member's backend server state something in its answers, and returns when the first of these
// arrived.
func (flt *fleet) stateInAnswers(t *testing.T, obs *observations, fls standin.Faults) time.Time {
	must.NoError(t, flt.members[0].standin.SetFaults(fls))
	awaitWithin(t, setupTimeout, func() bool { return !obs.firstStated().IsZero() })
	return obs.firstStated()
}

// TestStatedRateLimit guards against sending a backend server more requests than it states in its answers that it accepts,
// summed over all agents, also after a restart of its agent and without control.
func TestStatedRateLimit(t *testing.T) {
	eachDisturbance(t, siskinrill.HeaderRateLimit, func(t *testing.T, flt *fleet, obs *observations, dst disturbance) {
		start := flt.stateInAnswers(t, obs, standin.Faults{RateLimit: statedLimit, SlowFactor: slowFactor}).Add(limitGrace)
		time.Sleep(time.Until(start))
		dst.do(t, flt)
		time.Sleep(limitWindow + time.Second)
		allowed := int(1.5*statedLimit*limitWindow.Seconds()) + 5
		got := standin.MaxStarts(flt.counted(t, dst), start, limitWindow)
		all := standin.MaxStarts(flt.members[0].standin.Ledger(0, 100_000), start, limitWindow)
		t.Logf("%d requests in %s, allowed %d; %d with all that do not count", got, limitWindow, allowed, all)
		must.LessEq(t, allowed, got)
		if !dst.disturbs {
			obs.requireEarlyRefusals(t, start)
		}
	})
}

// TestStatedLeaving guards against requests to a backend server long after an answer that stated that it is leaving,
// although its announcements do not, also after a restart of its agent and without control.
func TestStatedLeaving(t *testing.T) {
	eachDisturbance(t, siskinrill.HeaderLeaving, func(t *testing.T, flt *fleet, obs *observations, dst disturbance) {
		end := flt.stateInAnswers(t, obs, standin.Faults{StateLeaving: true}).Add(leavingGrace)
		dst.do(t, flt)
		time.Sleep(time.Until(end) + 3*time.Second)
		late := 0
		for _, row := range flt.counted(t, dst) {
			if row.StartedUnixUs > end.UnixMicro() {
				late++
			}
		}
		must.Zero(t, late, must.Sprint("requests after the grace"))
	})
}
