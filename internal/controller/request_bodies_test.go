package controller

import (
	"bytes"
	"io"
	"net/http/httptest"
	"runtime"
	"testing"

	"umberpaddle/internal/limits"
)

// truncatedBody is a request body that ends before any byte has arrived.
type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestReadBodyUpToLimit checks that bodies of any length up to the limit are read unchanged, and that a
// body of one byte more is rejected.
func TestReadBodyUpToLimit(t *testing.T) {
	for _, length := range []int{0, 1, limits.MaxPreallocatedBodyBytes, limits.MaxPreallocatedBodyBytes + 1, limits.MaxBodyBytes} {
		body := bytes.Repeat([]byte{'x'}, length)
		got, ok := readBody(httptest.NewRecorder(), httptest.NewRequest("POST", "/checkin", bytes.NewReader(body)))
		if !ok || !bytes.Equal(got, body) {
			t.Errorf("read %d of %d bytes, ok %v", len(got), length, ok)
		}
	}
	answer := httptest.NewRecorder()
	tooLong := bytes.NewReader(make([]byte, limits.MaxBodyBytes+1))
	if _, ok := readBody(answer, httptest.NewRequest("POST", "/checkin", tooLong)); ok || answer.Code != 400 {
		t.Errorf("a body above the limit: ok %v, status %d", ok, answer.Code)
	}
}

// TestDeclaredLengthIsNotPreallocated checks that a request that declares a body of the maximum length
// and sends none of it takes little memory. If the declared length were allocated, one such request on
// each socket would take more memory than a small machine has.
func TestDeclaredLengthIsNotPreallocated(t *testing.T) {
	const requests = 1000
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range requests {
		r := httptest.NewRequest("POST", "/work", truncatedBody{})
		r.ContentLength = limits.MaxBodyBytes
		if _, ok := readBody(httptest.NewRecorder(), r); ok {
			t.Fatal("a body that never arrived was read")
		}
	}
	runtime.ReadMemStats(&after)
	if bytesPerRequest := (after.TotalAlloc - before.TotalAlloc) / requests; bytesPerRequest > limits.MaxBodyBytes/4 {
		t.Errorf("%d bytes allocated for a request without any body data", bytesPerRequest)
	}
}
