//go:build deps

package siskinrill

// Keeps the chosen modules in go.mod until the packages that use them are in place.
import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/go-faster/errors"
	_ "github.com/google/uuid"
	_ "github.com/oklog/run"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/pelletier/go-toml/v2/unstable"
	_ "github.com/shoenig/test"
	_ "github.com/shoenig/test/must"
	_ "github.com/sirupsen/logrus"
	_ "github.com/spf13/cobra"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "google.golang.org/grpc"
	_ "pgregory.net/rapid"
)
