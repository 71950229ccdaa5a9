package rawclient

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// redialPause is the pause of a client whose connection was refused or closed.
const redialPause = 20 * time.Millisecond

// Script is what a client sends on each of its connections.
type Script struct {
	// Start is sent first.
	Start []byte
	// Repeat is sent again and again after Start, until the connection ends.
	Repeat []byte
	// Pause is the time between two of these.
	Pause time.Duration
	// Unread leaves the answers unread.
	Unread bool
	// Redial opens a new connection whenever one ends.
	Redial bool
}

// Run plays a number of clients at an address, until the context ends or all connections have ended. Each keeps its connection
// open as long as the server does.
func Run(ctx context.Context, addr string, clients int, script func(num int) Script) {
	var all sync.WaitGroup
	for num := range clients {
		all.Go(func() { play(ctx, addr, script(num)) })
	}
	all.Wait()
}

func play(ctx context.Context, addr string, scr Script) {
	for ctx.Err() == nil {
		connect(ctx, addr, scr)
		if !scr.Redial {
			return
		}
		pause(ctx, redialPause)
	}
}

// connect plays one connection until it or the context ends.
func connect(ctx context.Context, addr string, scr Script) {
	var dia net.Dialer
	cnn, err := dia.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer cnn.Close()
	defer context.AfterFunc(ctx, func() { _ = cnn.Close() })()
	ended := make(chan struct{})
	if scr.Unread {
		_ = cnn.(*net.TCPConn).SetReadBuffer(1)
	} else {
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, cnn)
		}()
	}
	send(ctx, cnn, scr)
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// send sends a script until the connection fails or, without a part that is repeated, to its end.
func send(ctx context.Context, cnn net.Conn, scr Script) {
	_, err := cnn.Write(scr.Start)
	for err == nil && len(scr.Repeat) > 0 && ctx.Err() == nil {
		_, err = cnn.Write(scr.Repeat)
		pause(ctx, scr.Pause)
	}
}

func pause(ctx context.Context, dur time.Duration) {
	if dur == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(dur):
	}
}
