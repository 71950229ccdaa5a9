package backend

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill/internal/host/boottime"
)

// errGateClosed rejects a write of a request that has ended or whose lease has expired.
var errGateClosed = errors.New("the request may no longer be written")

// gate decides whether a request may still be written, and records whether any byte of it was.
type gate struct {
	mu          sync.Mutex
	expires     time.Time
	bootExpires time.Duration // expires on the host's boot clock, which also counts time in suspend
	started     bool
	checked     bool // the lease was checked on the connection in use
	closed      bool
	expired     bool
	writeStart  time.Time
}

func newGate(exp time.Time) *gate {
	return &gate{expires: exp, bootExpires: boottime.Now() + time.Until(exp)}
}

// recheck makes the next write check the lease again, because the request goes over a new connection.
func (gat *gate) recheck() {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	gat.checked = false
}

// beginWrite is called before each write of a request. Only the first write on a connection is refused after
// the lease expired, because a request that was started is finished.
func (gat *gate) beginWrite() (first bool, err error) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	if gat.checked {
		return false, nil
	}
	now := time.Now()
	if !now.Before(gat.expires) || boottime.Now() >= gat.bootExpires {
		gat.expired = true
	}
	if gat.closed || gat.expired {
		return false, errGateClosed
	}
	first = !gat.started
	gat.checked = true
	gat.started = true
	gat.writeStart = now
	return first, nil
}

// undoBegin resets the start of a request whose first write sent no byte.
func (gat *gate) undoBegin() {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	gat.started = false
	gat.checked = false
}

// hasStarted reports whether any byte of the request was written.
func (gat *gate) hasStarted() bool {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	return gat.started
}

// close prevents the request from starting, and reports whether it has started and whether its lease had
// expired.
func (gat *gate) close() (started, expired bool) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	gat.closed = true
	return gat.started, gat.expired
}

// firstWrite returns when the first byte was written.
func (gat *gate) firstWrite() time.Time {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	return gat.writeStart
}

// conn is a connection that asks the gate of its current request before each write.
type conn struct {
	net.Conn
	onEnd func() // called when the server closes or resets the connection; nil: nothing is called
	// broken is whether a write has failed. It has taken the error of a reset, after which reads see the end of the connection.
	broken atomic.Bool
	mu     sync.Mutex
	gat    *gate
}

// Read reads from the server and notices the end of the connection.
func (con *conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	if err == io.EOF && con.broken.Load() {
		err = syscall.ECONNRESET
	}
	if con.onEnd != nil && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) {
		con.onEnd()
	}
	return num, err
}

func (con *conn) attach(gat *gate) {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.gat = gat
	gat.recheck()
}

func (con *conn) gate() *gate {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.gat
}

// Write writes bytes of the current request if its gate allows it.
func (con *conn) Write(buf []byte) (int, error) {
	gat := con.gate()
	if gat == nil {
		return con.write(buf)
	}
	first, err := gat.beginWrite()
	if err != nil {
		return 0, err
	}
	num, err := con.write(buf)
	if first && num == 0 && err != nil {
		gat.undoBegin()
	}
	return num, err
}

func (con *conn) write(buf []byte) (int, error) {
	num, err := con.Conn.Write(buf)
	if err != nil {
		con.broken.Store(true)
	}
	return num, err
}
