package owner

import (
	"expvar"

	"github.com/siskinrill/siskinrill"
)

// counter returns a counter as text, empty if it never rose.
func counter(cnt *siskinrill.Counters, set, name string) string {
	val := cnt.Vars()[set].(*expvar.Map).Get(name)
	if val == nil {
		return ""
	}
	return val.String()
}
