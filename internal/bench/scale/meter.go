package scale

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Meter counts the bytes of the connections that it dials in both directions: TCP payload including HTTP/2 frames.
type Meter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the bytes written to connections so far.
func (mtr *Meter) Sent() int64 { return mtr.sent.Load() }

// Received returns the bytes read from connections so far.
func (mtr *Meter) Received() int64 { return mtr.received.Load() }

// Dial opens a TCP connection to an IP:port and counts its bytes.
func (mtr *Meter) Dial(ctx context.Context, adr string) (net.Conn, error) {
	var dlr net.Dialer
	con, err := dlr.DialContext(ctx, "tcp", adr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return &meteredConn{Conn: con, meter: mtr}, nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

func (mco *meteredConn) Read(buf []byte) (int, error) {
	num, err := mco.Conn.Read(buf)
	mco.meter.received.Add(int64(num))
	return num, err
}

func (mco *meteredConn) Write(buf []byte) (int, error) {
	num, err := mco.Conn.Write(buf)
	mco.meter.sent.Add(int64(num))
	return num, err
}
