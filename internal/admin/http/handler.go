package http

import (
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"fmt"
	"mime"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/ingress"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// maxBodyBytes limits the body of a request. A configuration of a thousand routes takes about 200 KB.
const maxBodyBytes = 8 << 20

// Options are the settings and data sources of a Handler.
type Options struct {
	Role     string                  // control, agent or dev
	Name     string                  // of the process
	Token    string                  // bearer token, empty for no authentication
	Operator *Operator               // calls the control leader
	Counters *siskinrill.Counters    // shown by /debug/vars, may be nil
	Vars     []map[string]expvar.Var // further gauges shown by /debug/vars
	Ready    func() error            // returns why the process is not ready; nil means always ready
}

// Handler serves the admin API of one process.
type Handler struct {
	options Options
	mux     *http.ServeMux
}

// New returns a handler with all paths of the admin API and /debug/vars.
func New(opt Options) *Handler {
	hdl := &Handler{options: opt, mux: http.NewServeMux()}
	hdl.mux.HandleFunc("GET /v1/status", hdl.status)
	hdl.mux.HandleFunc("GET /v1/owner", hdl.owner)
	hdl.mux.HandleFunc("GET /v1/config", hdl.show)
	hdl.mux.HandleFunc("POST /v1/config", hdl.apply)
	hdl.mux.HandleFunc("POST /v1/drain", hdl.drain)
	hdl.mux.HandleFunc("POST /v1/zones/{zone}/drain", hdl.drainZone)
	hdl.mux.HandleFunc("DELETE /v1/zones/{zone}/drain", hdl.drainZone)
	hdl.mux.HandleFunc("DELETE /v1/quarantine/{request}", hdl.release)
	hdl.mux.HandleFunc("GET /v1/members", hdl.members)
	hdl.mux.HandleFunc("POST /v1/members", hdl.changeMembers)
	hdl.mux.HandleFunc("GET /v1/ready", hdl.ready)
	hdl.mux.HandleFunc("GET /debug/vars", hdl.vars)
	return hdl
}

// ServeHTTP checks the token and the content type, and answers a request.
func (hdl *Handler) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if !hdl.authorized(req) {
		wri.Header().Set("WWW-Authenticate", "Bearer")
		writeProblem(wri, http.StatusUnauthorized, "unauthorized", "the bearer token is missing or wrong")
		return
	}
	// A web page can send other content types to loopback without a CORS preflight.
	typ, _, _ := mime.ParseMediaType(req.Header.Get("Content-Type"))
	if req.Method == http.MethodPost && typ != "application/json" {
		writeProblem(wri, http.StatusUnsupportedMediaType, "unsupported_media_type", "Content-Type must be application/json")
		return
	}
	hdl.mux.ServeHTTP(wri, req)
}

func (hdl *Handler) authorized(req *http.Request) bool {
	if hdl.options.Token == "" {
		return true
	}
	got, fnd := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	return fnd && subtle.ConstantTimeCompare([]byte(got), []byte(hdl.options.Token)) == 1
}

func (hdl *Handler) status(wri http.ResponseWriter, req *http.Request) {
	ans, err := hdl.options.Operator.Status(req.Context())
	respond(wri, ans, err)
}

func (hdl *Handler) owner(wri http.ResponseWriter, req *http.Request) {
	ask := &controlpb.OwnerRequest{Service: req.URL.Query().Get("service"), Key: req.URL.Query().Get("key")}
	if ask.GetService() == "" || ask.GetKey() == "" {
		writeProblem(wri, http.StatusBadRequest, "bad_request", "service and key are needed")
		return
	}
	ans, err := hdl.options.Operator.Owner(req.Context(), ask)
	respond(wri, ans, err)
}

func (hdl *Handler) show(wri http.ResponseWriter, req *http.Request) {
	ans, err := hdl.options.Operator.Show(req.Context())
	respond(wri, ans, err)
}

func (hdl *Handler) apply(wri http.ResponseWriter, req *http.Request) {
	var ask controlpb.ApplyRequest
	if !decode(wri, req, &ask) {
		return
	}
	ans, err := hdl.options.Operator.Apply(req.Context(), &ask)
	if err == nil && !ans.GetRecord().GetAccepted() {
		writeMessage(wri, http.StatusConflict, ans)
		return
	}
	respond(wri, ans, err)
}

func (hdl *Handler) drain(wri http.ResponseWriter, req *http.Request) {
	var ask controlpb.DrainRequest
	if !decode(wri, req, &ask) {
		return
	}
	ans, err := hdl.options.Operator.Drain(req.Context(), &ask)
	respond(wri, ans, err)
}

// drainZone drains a zone on POST and withdraws the order on DELETE; both have no body.
func (hdl *Handler) drainZone(wri http.ResponseWriter, req *http.Request) {
	ask := &controlpb.DrainZoneRequest{Zone: req.PathValue("zone"), Undo: req.Method == http.MethodDelete}
	if !utf8.ValidString(ask.GetZone()) {
		writeProblem(wri, http.StatusBadRequest, "bad_request", "the name of the zone is not UTF-8")
		return
	}
	ans, err := hdl.options.Operator.DrainZone(req.Context(), ask)
	respond(wri, ans, err)
}

// release ends the quarantine of the request with a fingerprint of 16 hexadecimal digits.
func (hdl *Handler) release(wri http.ResponseWriter, req *http.Request) {
	fpr, err := strconv.ParseUint(req.PathValue("request"), 16, 64)
	if err != nil {
		writeProblem(wri, http.StatusBadRequest, "bad_request", "the request is not a fingerprint of 16 hexadecimal digits")
		return
	}
	ans, err := hdl.options.Operator.Release(req.Context(), &controlpb.ReleaseRequest{Request: fpr})
	respond(wri, ans, err)
}

func (hdl *Handler) members(wri http.ResponseWriter, req *http.Request) {
	sta, err := hdl.options.Operator.Status(req.Context())
	ans := &controlpb.StatusAnswer{
		ClusterId: sta.GetClusterId(), Term: sta.GetTerm(), Commit: sta.GetCommit(), Members: sta.GetMembers(),
	}
	respond(wri, ans, err)
}

func (hdl *Handler) changeMembers(wri http.ResponseWriter, req *http.Request) {
	var ask controlpb.MembersRequest
	if !decode(wri, req, &ask) {
		return
	}
	ans, err := hdl.options.Operator.ChangeMembers(req.Context(), &ask)
	respond(wri, ans, err)
}

// Readiness is the answer of /v1/ready; reason is set while the process is not ready.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Role   string `json:"role"`
	Name   string `json:"name"`
	Reason string `json:"reason,omitempty"`
}

func (hdl *Handler) ready(wri http.ResponseWriter, _ *http.Request) {
	rdy := Readiness{Ready: true, Role: hdl.options.Role, Name: hdl.options.Name}
	cod := http.StatusOK
	if hdl.options.Ready != nil {
		if err := hdl.options.Ready(); err != nil {
			rdy.Ready, rdy.Reason, cod = false, err.Error(), http.StatusServiceUnavailable
		}
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(cod)
	_ = json.NewEncoder(wri).Encode(rdy)
}

// vars writes the published variables and the counters of this process as one object.
// The counters are not published globally because a dev process has several sets.
func (hdl *Handler) vars(wri http.ResponseWriter, _ *http.Request) {
	all := map[string]string{}
	expvar.Do(func(kev expvar.KeyValue) { all[kev.Key] = kev.Value.String() })
	sets := hdl.options.Vars
	if hdl.options.Counters != nil {
		sets = append(sets[:len(sets):len(sets)], hdl.options.Counters.Vars())
	}
	for _, set := range sets {
		for nam, vrb := range set {
			all[nam] = vrb.String()
		}
	}
	var nams []string
	for nam := range all {
		nams = append(nams, nam)
	}
	sort.Strings(nams)
	wri.Header().Set("Content-Type", "application/json")
	for num, nam := range nams {
		sep := ",\n"
		if num == 0 {
			sep = "{\n"
		}
		fmt.Fprintf(wri, "%s%q: %s", sep, nam, all[nam])
	}
	fmt.Fprintln(wri, "\n}")
}

func decode(wri http.ResponseWriter, req *http.Request, msg proto.Message) bool {
	dat, release, err := ingress.ReadRequest(wri, req, maxBodyBytes)
	defer release()
	var boe *ingress.BodyError
	if errors.As(err, &boe) {
		wri.Header().Set("Retry-After", "1")
		writeProblem(wri, http.StatusServiceUnavailable, "body_memory", boe.Error())
		return false
	}
	if err == nil {
		err = protojson.Unmarshal(dat, msg)
	}
	if err != nil {
		writeProblem(wri, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}

func respond(wri http.ResponseWriter, msg proto.Message, err error) {
	if err == nil {
		writeMessage(wri, http.StatusOK, msg)
		return
	}
	logrus.WithError(err).Debug("admin: Request failed.")
	var nle *NoLeaderError
	if errors.As(err, &nle) {
		writeProblem(wri, http.StatusServiceUnavailable, "no_leader", nle.Error())
		return
	}
	cod, rsn := httpStatus(err)
	writeProblem(wri, cod, rsn, status.Convert(err).Message())
}

// Marshal returns the JSON form of a message, with field names in snake case and with zero values.
func Marshal(msg proto.Message) ([]byte, error) {
	return protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true, Multiline: true}.Marshal(msg)
}

func writeMessage(wri http.ResponseWriter, cod int, msg proto.Message) {
	dat, err := Marshal(msg)
	if err != nil {
		writeProblem(wri, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(cod)
	_, _ = wri.Write(append(dat, '\n'))
}

// problemDetails is a problem document of RFC 9457.
type problemDetails struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Detail string `json:"detail"`
}

func writeProblem(wri http.ResponseWriter, cod int, rsn, det string) {
	wri.Header().Set("Content-Type", "application/problem+json")
	wri.WriteHeader(cod)
	_ = json.NewEncoder(wri).Encode(problemDetails{Title: http.StatusText(cod), Status: cod, Reason: rsn, Detail: det})
}

func httpStatus(err error) (int, string) {
	switch status.Code(err) {
	case codes.InvalidArgument:
		return http.StatusBadRequest, "bad_request"
	case codes.NotFound:
		return http.StatusNotFound, "not_found"
	case codes.AlreadyExists, codes.Aborted, codes.FailedPrecondition:
		return http.StatusConflict, "conflict"
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return http.StatusServiceUnavailable, "unavailable"
	default:
		return http.StatusInternalServerError, "internal"
	}
}
