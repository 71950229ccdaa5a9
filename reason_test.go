package siskinrill_test

import (
	"os"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
)

// TestReasonsAreDocumented guards against a reason that docs/operating.md lacks, or one there that no longer exists.
func TestReasonsAreDocumented(t *testing.T) {
	src, err := os.ReadFile("reason.go")
	must.NoError(t, err)
	doc, err := os.ReadFile("docs/operating.md")
	must.NoError(t, err)
	reasons, rows := map[string]bool{}, map[string]bool{}
	for _, fnd := range regexp.MustCompile(`Reason = "([a-z_]+)"`).FindAllSubmatch(src, -1) {
		reasons[string(fnd[1])] = true
	}
	for _, fnd := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllSubmatch(doc, -1) {
		rows[string(fnd[1])] = true
	}
	must.MapNotEmpty(t, reasons)
	must.Eq(t, reasons, rows)
}
