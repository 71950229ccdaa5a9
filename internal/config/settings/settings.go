package settings

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill/internal/config/source"
	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

// Defaults and limits of the settings.
const (
	// DefaultAdmin is the default admin address; further processes on the same host need another one.
	DefaultAdmin = "127.0.0.1:8481"
	// DefaultDrainTimeout limits the drain of an agent that stops; it is above the longest timeout of the example routes,
	// which is 60 s.
	DefaultDrainTimeout = 75 * time.Second
	// DefaultStopTimeout limits the transfer of leadership by a control process that stops.
	DefaultStopTimeout = 5 * time.Second

	maxStop = time.Hour
	// maxFreshness allows entries to serve by their copy of the configuration while control is unavailable for days.
	maxFreshness = 1000 * time.Hour
	// maxPipelined is the number of requests that run ahead in the whole process at most.
	maxPipelined = 256
	// maxMemoryMB, maxDescriptors and maxHeadLines are above what any host has and any head holds.
	maxMemoryMB    = 1 << 20
	maxDescriptors = 1 << 20
	maxHeadLines   = 1 << 20
	// maxLinkMbps is the speed of the fastest links in Mbit/s.
	maxLinkMbps = 1e6
)

// Log holds the settings of the section [log].
type Log struct {
	Level  string // error, warn, info or debug
	Format string // text or json
}

// Admin holds the settings of the section [admin].
type Admin struct {
	Listen string // IP:port
	Token  string // required unless the address is loopback
}

// Place is the name and location of a process, which are keys of the section of its role.
type Place struct {
	Name   string
	Zone   string
	Region string
}

// Host is what the host leaves to a process, keys of the section of its role.
type Host struct {
	MemoryMB    uint32 // 0 for the default
	Descriptors uint32 // 0 for the limit of the operating system
}

// Resources returns what the process may use.
func (hos Host) Resources() ingress.Resources {
	return ingress.Resources{Memory: int64(hos.MemoryMB) << 20, Descriptors: int(hos.Descriptors)}
}

// Control holds the settings of a control process.
type Control struct {
	Place
	Host
	Listen         string            // IP:port of the gRPC listener, which others connect to
	Data           string            // data directory
	InitialMembers map[string]string // IP:port by name
	MemberOrder    []string          // names of InitialMembers in the order of the file
	Seeds          []string          // IP:port of some control processes, instead of InitialMembers
	Bootstrap      bool              // with Seeds: the deployment starts for the first time
	Voters         uint32            // with Seeds: number of voters that the group restores by itself, 0 for the default
	Lease          time.Duration     // of an agent, 0 for the default
	Smoothing      time.Duration     // smoothing time of load figures, 0 for the default; balancing reacts within a few times this
	BalanceFrom    uint32            // percentage of its slots that an upstream must use before balancing moves keys away from it
	FillShare      uint32            // percentage of its share that a joining upstream gets immediately, 0 for the default of 100
	BySpeed        bool              // upstreams get keys according to how fast they serve requests
	Settle         time.Duration     // delay of the first grants of a service, for further upstreams to register
	StopTimeout    time.Duration
	Admin          Admin
	Log            Log
}

// Agent holds the settings of an agent.
type Agent struct {
	Place
	Host
	CallerListen  string   // IP:port for callers' HTTP requests
	PeerListen    string   // IP:port of the gRPC listener for other agents
	BackendListen string   // IP:port for announcements of the backend server
	Control       []string // IP:port of the control processes
	DrainTimeout  time.Duration
	// KeepKeys leaves the keys with the backend server at a stop, for the agent process that replaces this one.
	KeepKeys bool
	// ReportEvery is the interval of load reports, 0 for the default.
	ReportEvery time.Duration
	// Freshness is how long requests are accepted after the last contact with control, 0 for the default.
	Freshness time.Duration
	// DrainGrace is how long a backend server that is leaving still receives requests, 0 for the default.
	DrainGrace time.Duration
	// BackendIdle is the idle time after which a connection to the backend server is not reused, 0 for the default.
	BackendIdle time.Duration
	// AnnounceEvery is the time between two announcements of the backend server, 0 for the default.
	AnnounceEvery time.Duration
	// MaxRanges is the maximum number of key ranges that the backend server accepts in one answer, 0 for no limit.
	MaxRanges uint32
	// NamedAttempts requires that the backend server names the attempt in each answer, refusals as not run excepted.
	NamedAttempts bool
	// Unframed accepts answers of the backend server whose end is marked only by the end of the connection.
	Unframed bool
	// Pipelined is how many requests of a caller's connection may run ahead of the first one that is not answered.
	Pipelined uint32
	// Service is the service of the backend server on this host; announcements of another one are refused. Empty: any.
	Service string
	// ZoneSpillover keeps requests of services without keys in the agent's zone while it has room.
	ZoneSpillover bool
	// MaxHeadLines is the limit of the lines in the head of a caller's request, 0 for the default.
	MaxHeadLines uint32
	// CallerHeaders are the headers that tell callers apart, nil for the default of Authorization.
	CallerHeaders []string
	// LinkMbps is the speed of the host's network link in Mbit/s, 0 for not known. Long answers take a part of it only.
	LinkMbps float64
	Admin    Admin
	Log      Log
}

// Standin holds the settings of a stand-in backend server.
type Standin struct {
	ID          string
	Service     string
	Listen      string // IP:port
	Agent       string // IP:port of the agent's backend listener
	Slots       uint32
	Connections uint32
	ChecksFence bool
	Grants      bool // provides the endpoint for grants
	HoldsKeys   bool // receives grants of numeric keys by calls of the agent
	// HeartbeatHolds makes it hold numeric keys by the answers to its announcements, and KeepsSingleKeys release them one by one.
	HeartbeatHolds  bool
	KeepsSingleKeys bool
	Numbered        bool          // announces an incarnation, which increases with each start
	ServiceTime     time.Duration // median duration of a request
	ColdKey         time.Duration // added to the first request of a key after its grant
	ColdTime        time.Duration // time from the start until requests have their normal duration
	ColdFactor      uint32        // factor of the duration of requests at the start
	ColdRate        float64       // requests a second that it tolerates during ColdTime, 0 for no limit
	ColdCrash       bool          // ends when it gets more
	HealthLag       time.Duration // age of the figures of the health and load endpoints
	StopTimeout     time.Duration // maximum wait for the agent's permission to stop
	LedgerFile      string        // file to which the ledger's rows are also written, empty for none
	Log             Log
}

// LoadControl reads and checks the settings file of a control process.
func LoadControl(fil string) (Control, error) {
	set := Control{StopTimeout: DefaultStopTimeout}
	dat, err := readFile(fil)
	if err != nil {
		return set, err
	}
	return ParseControl(filepath.Base(fil), dat)
}

// ParseControl reads the settings of a control process from the content of a file; the error is a *source.ProblemsError.
func ParseControl(fil string, dat []byte) (Control, error) {
	set := Control{StopTimeout: DefaultStopTimeout}
	var mbs []string
	doc := newDocument(fil, dat, "control", "admin", "log")
	doc.decode(
		"control",
		append(
			doc.placeFields(&set.Place),
			address("listen", &set.Listen).Required(),
			source.Text("data", &set.Data).Required(),
			source.Texts("initial_members", &mbs),
			source.Texts("seeds", &set.Seeds),
			source.Flag("bootstrap", &set.Bootstrap),
			source.Uint32("voters", &set.Voters, 1, 9),
			source.Duration("lease", &set.Lease, time.Second, time.Minute),
			source.Duration("smoothing", &set.Smoothing, 0, time.Minute),
			source.Flag("by_speed", &set.BySpeed),
			source.Uint32("balance_from_percent", &set.BalanceFrom, 0, 100),
			source.Uint32("fill_share_percent", &set.FillShare, 1, 100),
			source.Duration("settle", &set.Settle, 0, time.Minute),
			source.Duration("stop_timeout", &set.StopTimeout, 0, maxStop),
			source.Uint32("memory_mb", &set.MemoryMB, 0, maxMemoryMB),
			source.Uint32("descriptors", &set.Descriptors, 0, maxDescriptors),
		)...,
	)
	doc.decodeCommon(&set.Admin, &set.Log)
	if (len(mbs) == 0) == (len(set.Seeds) == 0) {
		doc.checker.Add(doc.position("control", "initial_members"), "control.initial_members", "is missing; either initial_members or seeds must be set")
	}
	set.InitialMembers, set.MemberOrder = doc.parseMembers(mbs, set.Name, set.Listen)
	doc.checkDistinct(addressSetting{"control", "listen", set.Listen}, addressSetting{"admin", "listen", set.Admin.Listen})
	return set, doc.checker.Err()
}

// LoadAgent reads and checks the settings file of an agent.
func LoadAgent(fil string) (Agent, error) {
	dat, err := readFile(fil)
	if err != nil {
		return Agent{}, err
	}
	return ParseAgent(filepath.Base(fil), dat)
}

// ParseAgent reads the settings of an agent from the content of a file; the error is a *source.ProblemsError.
func ParseAgent(fil string, dat []byte) (Agent, error) {
	set := Agent{DrainTimeout: DefaultDrainTimeout}
	doc := newDocument(fil, dat, "agent", "admin", "log")
	doc.decode(
		"agent",
		append(
			doc.placeFields(&set.Place),
			address("caller_listen", &set.CallerListen).Required(),
			address("peer_listen", &set.PeerListen).Required(),
			address("backend_listen", &set.BackendListen).Required(),
			addresses("control", &set.Control).Required(),
			source.Duration("drain_timeout", &set.DrainTimeout, 0, maxStop),
			source.Flag("keep_keys", &set.KeepKeys),
			source.Duration("report_every", &set.ReportEvery, 0, time.Minute),
			source.Duration("freshness", &set.Freshness, 0, maxFreshness),
			source.Duration("drain_grace", &set.DrainGrace, 0, maxStop),
			source.Duration("backend_idle", &set.BackendIdle, 0, maxStop),
			source.Duration("announce_every", &set.AnnounceEvery, 0, time.Minute),
			source.Uint32("max_ranges", &set.MaxRanges, 0, 1<<16),
			source.Flag("unframed", &set.Unframed),
			source.Flag("named_attempts", &set.NamedAttempts),
			source.Uint32("pipelined", &set.Pipelined, 0, maxPipelined),
			source.Text("service", &set.Service),
			source.Flag("zone_spillover", &set.ZoneSpillover),
			source.Number("link_mbps", &set.LinkMbps, 0, maxLinkMbps),
			source.Texts("caller_headers", &set.CallerHeaders),
			source.Uint32("max_header_lines", &set.MaxHeadLines, 0, maxHeadLines),
			source.Uint32("memory_mb", &set.MemoryMB, 0, maxMemoryMB),
			source.Uint32("descriptors", &set.Descriptors, 0, maxDescriptors),
		)...,
	)
	doc.decodeCommon(&set.Admin, &set.Log)
	doc.checkDistinct(
		addressSetting{"agent", "caller_listen", set.CallerListen},
		addressSetting{"agent", "peer_listen", set.PeerListen},
		addressSetting{"agent", "backend_listen", set.BackendListen},
		addressSetting{"admin", "listen", set.Admin.Listen},
	)
	return set, doc.checker.Err()
}

// LoadStandin reads and checks the settings file of a stand-in.
func LoadStandin(fil string) (Standin, error) {
	dat, err := readFile(fil)
	if err != nil {
		return Standin{}, err
	}
	return ParseStandin(filepath.Base(fil), dat)
}

// ParseStandin reads the settings of a stand-in from the content of a file; the error is a *source.ProblemsError.
func ParseStandin(fil string, dat []byte) (Standin, error) {
	set := Standin{Slots: 18, Connections: 120, Grants: true, ServiceTime: 2 * time.Millisecond, ColdFactor: 1, StopTimeout: DefaultDrainTimeout}
	doc := newDocument(fil, dat, "standin", "log")
	doc.decode(
		"standin",
		source.Text("id", &set.ID).Required(),
		source.Text("service", &set.Service).Required(),
		address("listen", &set.Listen).Required(),
		address("agent", &set.Agent).Required(),
		source.Uint32("slots", &set.Slots, 1, 10000),
		source.Uint32("connections", &set.Connections, 1, 100000),
		source.Flag("checks_fence", &set.ChecksFence),
		source.Duration("service_time", &set.ServiceTime, 0, time.Minute),
		source.Flag("grants", &set.Grants),
		source.Flag("holds_keys", &set.HoldsKeys),
		source.Flag("heartbeat_holds", &set.HeartbeatHolds),
		source.Flag("keeps_single_keys", &set.KeepsSingleKeys),
		source.Flag("numbered", &set.Numbered),
		source.Duration("cold_key", &set.ColdKey, 0, time.Minute),
		source.Duration("cold_time", &set.ColdTime, 0, time.Hour),
		source.Number("cold_rate", &set.ColdRate, 0, 1e6),
		source.Flag("cold_crash", &set.ColdCrash),
		source.Uint32("cold_factor", &set.ColdFactor, 1, 100),
		source.Duration("health_lag", &set.HealthLag, 0, time.Minute),
		source.Duration("stop_timeout", &set.StopTimeout, 0, maxStop),
		source.Text("ledger_file", &set.LedgerFile),
	)
	doc.decodeLog(&set.Log)
	doc.checkDistinct(addressSetting{"standin", "listen", set.Listen}, addressSetting{"standin", "agent", set.Agent})
	return set, doc.checker.Err()
}

func readFile(fil string) ([]byte, error) {
	dat, err := os.ReadFile(fil)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return dat, nil
}

// document is a settings file with the problems found in it.
type document struct {
	sections map[string]*source.Section
	checker  *source.Checker
	file     string
}

func newDocument(fil string, dat []byte, alw ...string) *document {
	doc := &document{sections: map[string]*source.Section{}, checker: &source.Checker{}, file: fil}
	for _, sec := range source.Read(fil, dat, 1, doc.checker) {
		doc.sections[sec.Name()] = sec
		if !contains(alw, sec.Name()) {
			hint := source.Suggestion(sec.Name(), alw)
			doc.checker.Add(sec.Position(), sec.Name(), "unknown section%s; allowed: [%s]", hint, strings.Join(alw, "], ["))
		}
	}
	if doc.sections[alw[0]] == nil {
		doc.checker.Add(source.NewPosition(fil, 0), alw[0], "section [%s] is missing", alw[0])
	}
	return doc
}

func (doc *document) decode(nam string, flds ...source.Field) {
	if sec := doc.sections[nam]; sec != nil {
		sec.Decode(doc.checker, flds...)
	}
}

func (doc *document) placeFields(plc *Place) []source.Field {
	return []source.Field{
		source.Text("name", &plc.Name).Required(),
		source.Text("zone", &plc.Zone).Required(),
		source.Text("region", &plc.Region).Required(),
	}
}

func (doc *document) decodeCommon(adm *Admin, log *Log) {
	doc.decodeLog(log)
	adm.Listen = DefaultAdmin
	doc.decode("admin", address("listen", &adm.Listen), source.Text("token", &adm.Token))
	if !Loopback(adm.Listen) && adm.Token == "" {
		doc.checker.Add(doc.position("admin", "listen"), "admin.token", "is missing; an admin address that is not loopback needs one")
	}
}

func (doc *document) decodeLog(log *Log) {
	*log = Log{Level: "info", Format: "text"}
	doc.decode(
		"log",
		source.Choice("level", &log.Level, "error", "warn", "info", "debug"),
		source.Choice("format", &log.Format, "text", "json"),
	)
}

func (doc *document) position(nam, key string) source.Position {
	if sec := doc.sections[nam]; sec != nil {
		return sec.At(key)
	}
	return source.NewPosition(doc.file, 0)
}

func contains(lst []string, nam string) bool {
	for _, itm := range lst {
		if itm == nam {
			return true
		}
	}
	return false
}
