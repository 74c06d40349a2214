package controller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"umberpaddle/internal/limits"
	"umberpaddle/internal/wire"
)

func transport(conns int) *http.Transport {
	d := &net.Dialer{Timeout: limits.PeerTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp4", addr)
		},
		MaxIdleConnsPerHost: conns, MaxConnsPerHost: conns, IdleConnTimeout: limits.ClientIdle, DisableCompression: true}
}

// orderTransport carries direct orders. A connection to each of many workers is kept: setting one
// up costs more processor time than the order itself, and a job's launches go to dozens of workers
// at once. Keep-alive probes would cost four system calls for each connection and say no more than
// IdleConnTimeout.
func (s *Server) orderTransport() *http.Transport {
	work := transport(1)
	work.MaxIdleConns = int(limits.OrderConnections * float64(s.set.Cluster.Resources.MaxSockets))
	work.ReadBufferSize, work.WriteBufferSize = limits.OrderBuffer, limits.OrderBuffer
	dialer := &net.Dialer{Timeout: limits.PeerTimeout, KeepAlive: -1}
	work.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp4", addr)
		if err != nil {
			return nil, err
		}
		return newCountedConn(conn, &s.orderConns), nil
	}
	return work
}

// request makes one HTTP request; status 0 is no answer.
func (s *Server) request(client *http.Client, host, method, path string, body any, timeout time.Duration) (int, []byte) {
	status, b, _ := s.requestTracked(client, host, method, path, body, timeout)
	return status, b
}

// requestTracked is do; unsent tells that there was no connection to send anything on.
func (s *Server) requestTracked(client *http.Client, host, method, path string, body any, timeout time.Duration) (status int, answer []byte, unsent bool) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	var rd io.Reader
	if body != nil {
		b, err := wire.Encode(body)
		if err != nil {
			s.log.Error("request not encoded", "path", path, "error", err)
			return 400, nil, true
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, rd)
	if err != nil {
		s.log.Error("request not made", "path", path, "error", err)
		return 400, nil, true
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := client.Do(req)
	if err != nil {
		s.log.Debug("no answer", "method", method, "path", path, "error", err)
		var op *net.OpError
		return 0, nil, errors.As(err, &op) && op.Op == "dial"
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, limits.MaxStoreBodyBytes))
	if err != nil {
		return 0, nil, false
	}
	if resp.StatusCode >= 300 && resp.StatusCode != 404 && resp.StatusCode != 409 {
		s.log.Debug("refused", "method", method, "path", path, "status", resp.StatusCode, "body", string(b[:min(len(b), 200)]))
	}
	return resp.StatusCode, b, false
}
