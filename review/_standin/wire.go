package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

func encode(v any) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

// read decodes the body of a request.
func read(r *http.Request, v any) bool {
	body, err := io.ReadAll(r.Body)
	return err == nil && msgpack.Unmarshal(body, v) == nil
}

func reply(w http.ResponseWriter, status int, body any) {
	var content []byte
	if body != nil {
		content = encode(body)
	}
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	w.Write(content)
}

// call sends a request and decodes the answer into v, if v is not nil. Status 0 means no answer.
func call(client *http.Client, method, url string, body, v any) int {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(encode(body))
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if v != nil && len(content) > 0 {
		msgpack.Unmarshal(content, v)
	}
	return response.StatusCode
}

func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
}

// serve serves a handler on a free loopback port and returns the address.
func serve(handler http.Handler) (string, *http.Server) {
	listener, err := net.Listen("tcp4", loopbackIP+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	return listener.Addr().String(), server
}
