package controller

import (
	"bytes"
	"io"
	"net/http/httptest"
	"runtime"
	"testing"

	"umberpaddle/internal/limits"
)

// endlessBody is a body of which nothing ever arrives but its end.
type endlessBody struct{}

func (endlessBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestBodiesAreReadWhole: bodies of any length up to the limit arrive as they were sent, and one
// byte more is refused.
func TestBodiesAreReadWhole(t *testing.T) {
	for _, length := range []int{0, 1, limits.MaxPreallocatedBodyBytes, limits.MaxPreallocatedBodyBytes + 1, limits.MaxBodyBytes} {
		body := bytes.Repeat([]byte{'x'}, length)
		got, ok := readBody(httptest.NewRecorder(), httptest.NewRequest("POST", "/checkin", bytes.NewReader(body)))
		if !ok || !bytes.Equal(got, body) {
			t.Errorf("%d of %d bytes, %v", len(got), length, ok)
		}
	}
	answer := httptest.NewRecorder()
	tooLong := bytes.NewReader(make([]byte, limits.MaxBodyBytes+1))
	if _, ok := readBody(answer, httptest.NewRequest("POST", "/checkin", tooLong)); ok || answer.Code != 400 {
		t.Errorf("a body above the limit: %v, status %d", ok, answer.Code)
	}
}

// TestDeclaredLengthTakesNoMemory: a request that declares the longest body and sends none of it
// costs little. Guards against as many of them as there are sockets, which took more memory than
// a small machine has.
func TestDeclaredLengthTakesNoMemory(t *testing.T) {
	const requests = 1000
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range requests {
		r := httptest.NewRequest("POST", "/work", endlessBody{})
		r.ContentLength = limits.MaxBodyBytes
		if _, ok := readBody(httptest.NewRecorder(), r); ok {
			t.Fatal("read what never arrived")
		}
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / requests; each > limits.MaxBodyBytes/4 {
		t.Errorf("%d bytes for a request of which nothing arrived", each)
	}
}
