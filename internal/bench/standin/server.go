package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

const (
	headerTimeout = 10 * time.Second // for reading the headers of a request
	// maxHeadBytes and maxHeadLines allow the largest head that an agent accepts, with the fields that it adds.
	maxHeadBytes = 80 << 10
	maxHeadLines = 17 << 10
)

// Server is a stand-in backend server with fault injection and a ledger.
type Server struct {
	opt       Options
	mux       *http.ServeMux
	http      *http.Server
	guard     *ingress.Guard
	ledger    *ledger
	faults    *faultState
	fences    fences
	warmKeys  warmKeys
	heldKeys  *heldKeys // nil unless Options.HoldsKeys or HeartbeatHolds is set
	slots     chan struct{}
	samples   samples
	cold      coldState
	startedAt time.Time

	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc

	announcing sync.Mutex // one announcement at a time
	sequence   uint64     // of the last announcement, guarded by announcing

	mu              sync.Mutex
	granted         map[string]uint64
	waiting         int
	leaving         bool
	requestListener net.Listener // nil while connections are refused
	addr            string       // of the request listener
	controlListener net.Listener
}

// New opens the listeners of a stand-in backend server and starts to serve requests; Run announces the server.
func New(opt Options) (*Server, error) {
	opt = opt.withDefaults()
	if opt.ID == "" || opt.Service == "" {
		return nil, errors.New("a stand-in needs an id and a service")
	}
	if opt.HoldsKeys && opt.HeartbeatHolds {
		return nil, errors.New("a stand-in holds its keys by calls or by heartbeats, not both")
	}
	led, err := newLedger(opt.LedgerRows, opt.LedgerFile)
	if err != nil {
		return nil, err
	}
	srv := &Server{
		opt: opt, ledger: led, faults: newFaultState(opt.Seed), slots: make(chan struct{}, opt.Slots),
		startedAt: time.Now(), granted: map[string]uint64{}, addr: opt.Listen,
	}
	srv.fences.newest = map[string]uint64{}
	srv.warmKeys = warmKeys{limit: opt.WarmKeys, keys: map[string]map[string]struct{}{}}
	srv.ctx, srv.cancel = context.WithCancel(context.Background())
	srv.cold.until = srv.startedAt.Add(opt.ColdTime)
	srv.routes()
	srv.guard = ingress.NewGuard(ingress.Limits{Bytes: maxHeadBytes, Lines: maxHeadLines})
	srv.http = &http.Server{Handler: srv, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: 2 * maxHeadBytes, ConnState: srv.guard.ConnState}
	if err := srv.setListening(true); err != nil {
		return nil, err
	}
	lis, err := net.Listen("tcp", defaultListen)
	if err != nil {
		srv.Close()
		return nil, errors.Wrap(err, "open control listener")
	}
	srv.controlListener = lis
	go srv.serve(lis)
	return srv, nil
}

func (srv *Server) routes() {
	srv.mux = http.NewServeMux()
	srv.mux.HandleFunc("GET /standin/ledger", srv.getLedger)
	srv.mux.HandleFunc("PUT /standin/faults", srv.putFaults)
	srv.mux.HandleFunc("GET /standin/cold", srv.getCold)
	srv.mux.HandleFunc("PUT /standin/cold", srv.putCold)
	srv.mux.HandleFunc("GET /health", srv.getHealth)
	srv.mux.HandleFunc("GET /load", srv.getLoad)
	if !srv.opt.NoGrants {
		srv.mux.HandleFunc("POST "+grantsPath, srv.putGrants)
	}
	if !srv.opt.HoldsKeys && !srv.opt.HeartbeatHolds {
		srv.mux.HandleFunc("/", srv.handleRequest)
		return
	}
	srv.heldKeys = &heldKeys{singleKeys: srv.opt.KeepsSingleKeys}
	if srv.opt.HoldsKeys {
		srv.mux.HandleFunc("POST "+grantPath, srv.postGrant)
		srv.mux.HandleFunc("POST "+releasePath, srv.postRelease)
	}
	srv.mux.HandleFunc("/", srv.requireHeldKey(srv.handleRequest))
}

// ServeHTTP serves requests of the service and the endpoints of the stand-in on both listeners.
func (srv *Server) ServeHTTP(wri http.ResponseWriter, req *http.Request) { srv.mux.ServeHTTP(wri, req) }

// setListening opens or closes the request listener; it reopens on the same address.
func (srv *Server) setListening(open bool) error {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.http.SetKeepAlivesEnabled(open)
	switch {
	case open && srv.requestListener == nil:
		lis, err := net.Listen("tcp", srv.addr)
		if err != nil {
			return errors.Wrap(err, "listener")
		}
		srv.requestListener = lis
		srv.addr = lis.Addr().String()
		go srv.serve(lis)
	case !open && srv.requestListener != nil:
		err := srv.requestListener.Close()
		srv.requestListener = nil
		return err
	}
	return nil
}

func (srv *Server) serve(lis net.Listener) {
	err := srv.http.Serve(srv.guard.Listen(lis))
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		logrus.Warnf("standin: server %s cannot accept connections: %v", srv.opt.ID, err)
	}
}

// URL returns the base URL for requests.
func (srv *Server) URL() string {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return "http://" + srv.addr
}

// ControlURL returns the base URL of the control listener, which stays open while the request listener is closed.
func (srv *Server) ControlURL() string { return "http://" + srv.controlListener.Addr().String() }

// Ledger returns up to limit rows after a sequence number, without those already dropped from memory.
func (srv *Server) Ledger(after uint64, limit int) []Row {
	rows, _ := srv.ledger.page(after, limit)
	return rows
}

// Close ends the server immediately without answering its running requests, as a crash does.
func (srv *Server) Close() {
	srv.cancel()
	_ = srv.http.Close()
}
