package load

import (
	"fmt"
	"math/rand"
	"sort"
	"strings"
	"time"
)

// Kinds of request; the values are those of the configuration.
const (
	kindIdempotent    = "idempotent"
	kindNonIdempotent = "non_idempotent"
	kindUpload        = "upload"
)

// requestClass is one class of requests in a mix.
type requestClass struct {
	service string
	method  string
	prefix  string // of the path, before the key
	suffix  string // of the path, after the key
	kind    string
	weight  float64
	zipf    bool // keys follow a Zipf distribution instead of a uniform one
}

// mixes are the workloads of the two example deployments: mostly idempotent reads, some payments or confirmations,
// few uploads.
var mixes = map[string][]requestClass{
	"rangsudhar": {
		{"shadefinder", "GET", "/shades/", "", kindIdempotent, 0.70, true},
		{"shadefinder", "GET", "/stock/", "", kindIdempotent, 0.12, true},
		{"checkout", "POST", "/orders/", "/payment", kindNonIdempotent, 0.13, false},
		{"photodesk", "PUT", "/photos/", "", kindUpload, 0.05, false},
	},
	"bassma": {
		{"vitrine", "GET", "/catalogue/", "", kindIdempotent, 0.78, true},
		{"commande", "POST", "/orders/", "/confirmation", kindNonIdempotent, 0.16, false},
		{"empreinte", "PUT", "/scans/", "", kindUpload, 0.06, false},
	},
}

// DirectService returns the service whose stand-ins can serve direct requests for comparison, or "" for an unknown mix.
func DirectService(mix string) string {
	for _, shp := range mixes[mix] {
		if shp.kind == kindIdempotent {
			return shp.service
		}
	}
	return ""
}

func mixNames() []string {
	nam := make([]string, 0, len(mixes))
	for key := range mixes {
		nam = append(nam, key)
	}
	sort.Strings(nam)
	return nam
}

// plan is one request to send.
type plan struct {
	class  *requestClass
	key    string
	id     string
	due    time.Duration // intended send time, since the start of the run
	direct bool          // to a stand-in, without the router
}

func (pln *plan) path() string { return pln.class.prefix + pln.key + pln.class.suffix }

// generator draws random requests; the same seed gives the same sequence.
type generator struct {
	opt         *Options
	rng         *rand.Rand
	zipf        *rand.Zipf
	classes     []requestClass
	totalWeight float64
	count       int
	due         time.Duration
	idPrefix    string
}

func newGenerator(opt *Options, idPrefix string) *generator {
	rng := rand.New(rand.NewSource(int64(opt.Seed)))
	gen := &generator{opt: opt, rng: rng, idPrefix: idPrefix}
	gen.zipf = rand.NewZipf(rng, opt.Zipf, 1, uint64(opt.Keys-1))
	for _, shp := range mixes[opt.Mix] {
		if opt.OnlyKind == "" || opt.OnlyKind == shp.kind {
			gen.classes = append(gen.classes, shp)
			gen.totalWeight += shp.weight
		}
	}
	return gen
}

// next returns the next request; the send times form a Poisson process.
func (gen *generator) next() *plan {
	gen.due += time.Duration(gen.rng.ExpFloat64() / gen.opt.Rate * float64(time.Second))
	gen.count++
	shp := gen.drawClass()
	return &plan{
		class:  shp,
		key:    gen.drawKey(shp),
		id:     fmt.Sprintf("%s-%d", gen.idPrefix, gen.count),
		due:    gen.due,
		direct: shp.kind == kindIdempotent && gen.rng.Float64() < gen.opt.DirectShare,
	}
}

func (gen *generator) drawClass() *requestClass {
	val := gen.rng.Float64() * gen.totalWeight
	for idx := range gen.classes {
		val -= gen.classes[idx].weight
		if val < 0 {
			return &gen.classes[idx]
		}
	}
	return &gen.classes[len(gen.classes)-1]
}

func (gen *generator) drawKey(shp *requestClass) string {
	if !shp.zipf {
		return fmt.Sprintf("%s-%d", shp.service, gen.rng.Intn(gen.opt.Keys))
	}
	rank := int(gen.zipf.Uint64())
	if gen.opt.ShiftEvery == 0 || rank >= gen.opt.HotKeys {
		return fmt.Sprintf("%s-%d", shp.service, rank)
	}
	// The hottest ranks map to other keys of the same key space in each period.
	period := int(gen.due / gen.opt.ShiftEvery)
	return fmt.Sprintf("%s-%d", shp.service, (rank+period*gen.opt.HotKeys)%gen.opt.Keys)
}

// body returns the request's body, which is unique to its id so that the hash in a ledger row identifies the request.
func (pln *plan) body(upl int) []byte {
	switch pln.class.kind {
	case kindUpload:
		rep := strings.Repeat(pln.id+"\n", upl/(len(pln.id)+1)+1)
		return []byte(rep[:upl])
	case kindNonIdempotent:
		return []byte(`{"request":"` + pln.id + `"}`)
	default:
		return nil
	}
}
