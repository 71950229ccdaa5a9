package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// Server accepts connections on a port of loopback.
type Server struct {
	lis net.Listener
}

// Start serves each connection by a function of its own goroutine, after which the connection is closed.
func Start(serve func(cnn net.Conn)) (*Server, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	srv := &Server{lis: lis}
	go srv.accept(serve)
	return srv, nil
}

func (srv *Server) accept(serve func(cnn net.Conn)) {
	for {
		cnn, err := srv.lis.Accept()
		if err != nil {
			return
		}
		go func() {
			defer cnn.Close()
			serve(cnn)
		}()
	}
}

// URL returns the URL of the server.
func (srv *Server) URL() string { return "http://" + srv.lis.Addr().String() }

// Close ends the listener; connections that are being served continue.
func (srv *Server) Close() { _ = srv.lis.Close() }

// Requests returns a function for Start that calls answer for each request of a connection, once its body was read. reqs are the
// requests of the connection so far; the last one is to be answered. The connection ends when answer returns false.
func Requests(answer func(cnn net.Conn, reqs []*http.Request) bool) func(cnn net.Conn) {
	return func(cnn net.Conn) {
		buf := bufio.NewReader(cnn)
		var reqs []*http.Request
		for {
			req, err := http.ReadRequest(buf)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			reqs = append(reqs, req)
			if !answer(cnn, reqs) {
				return
			}
		}
	}
}
