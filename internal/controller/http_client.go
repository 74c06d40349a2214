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

// newTransport returns a transport that uses at most maxConns connections to a host.
func newTransport(maxConns int) *http.Transport {
	dialer := &net.Dialer{Timeout: limits.PeerTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", addr)
		},
		MaxIdleConnsPerHost: maxConns, MaxConnsPerHost: maxConns, IdleConnTimeout: limits.ClientIdleTimeout, DisableCompression: true}
}

// newOrderTransport returns the transport for direct orders. It keeps a connection open to each of many
// workers: a new connection costs more CPU time than the order itself, and a job's launches go to
// dozens of workers at once. TCP keep-alive is off: setting it up costs four system calls for each
// connection, and IdleConnTimeout closes unused connections anyway.
func (s *Server) newOrderTransport() *http.Transport {
	transport := newTransport(1)
	transport.MaxIdleConns = int(limits.OrderConnectionShare * float64(s.settings.Cluster.Resources.MaxSockets))
	transport.ReadBufferSize, transport.WriteBufferSize = limits.OrderBufferBytes, limits.OrderBufferBytes
	dialer := &net.Dialer{Timeout: limits.PeerTimeout, KeepAlive: -1}
	transport.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp4", addr)
		if err != nil {
			return nil, err
		}
		return newCountedConn(conn, &s.orderConns), nil
	}
	return transport
}

// request makes one HTTP request and returns the status and body of the response. Status 0 means that
// there was no response.
func (s *Server) request(client *http.Client, host, method, path string, body any, timeout time.Duration) (int, []byte) {
	status, answer, _ := s.doRequest(client, host, method, path, body, timeout)
	return status, answer
}

// doRequest makes one HTTP request and returns the status and body of the response. Status 0 means that
// there was no response. unsent reports whether the request was certainly not sent, because it could not be
// created or no connection could be opened.
func (s *Server) doRequest(client *http.Client, host, method, path string, body any, timeout time.Duration) (status int, answer []byte, unsent bool) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		encodedBody, err := wire.Encode(body)
		if err != nil {
			s.log.Error("cannot encode the body of a request", "path", path, "error", err)
			return 400, nil, true
		}
		reader = bytes.NewReader(encodedBody)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, reader)
	if err != nil {
		s.log.Error("cannot create a request", "path", path, "error", err)
		return 400, nil, true
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := client.Do(req)
	if err != nil {
		s.log.Debug("request failed without a response", "method", method, "path", path, "error", err)
		var opError *net.OpError
		return 0, nil, errors.As(err, &opError) && opError.Op == "dial"
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, limits.MaxStoreBodyBytes))
	if err != nil {
		return 0, nil, false
	}
	if resp.StatusCode >= 300 && resp.StatusCode != 404 && resp.StatusCode != 409 {
		s.log.Debug("request refused", "method", method, "path", path, "status", resp.StatusCode, "body", string(content[:min(len(content), 200)]))
	}
	return resp.StatusCode, content, false
}
