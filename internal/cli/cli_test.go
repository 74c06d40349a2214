package cli

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"umberpaddle/internal/wire"
)

func run(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := Run(args, strings.NewReader(`{"id":"job-1"}`), &out, &errOut)
	return code, out.String(), errOut.String()
}

func TestBadSettingsExitWithTwoAndOneLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	if err := os.WriteFile(file, []byte(`{"label":"a"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"--config", file}, {"check-config", "--config", file}} {
		code, _, e := run(args...)
		if code != 2 || strings.Count(e, "\n") != 1 || !strings.Contains(e, "api_addr") {
			t.Errorf("%v: code %d, %q", args, code, e)
		}
	}
	for _, args := range [][]string{{}, {"--bogus"}, {"status"}, {"--config", file + ".missing"}, {"submit", "/nonexistent"}} {
		if code, _, e := run(args...); code != 2 || strings.Count(e, "\n") != 1 {
			t.Errorf("%v: code %d, %q", args, code, e)
		}
	}
	if code, out, _ := run("version"); code != 0 || !strings.HasPrefix(out, "umberpaddle ") {
		t.Errorf("version: %d %q", code, out)
	}
}

func TestClient(t *testing.T) {
	var asked []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.Method+" "+r.URL.Path)
		body, _ := io.ReadAll(r.Body)
		var m map[string]any
		if r.URL.Path == "/work" && (wire.Decode(body, &m) != nil || m["id"] != "job-1") {
			w.WriteHeader(400)
			return
		}
		if r.URL.Path == "/work/job-9" {
			w.WriteHeader(404)
			return
		}
		b, err := wire.Encode(wire.JobStatus{ID: "job-1", Status: "pending"})
		if err != nil {
			t.Error(err)
		}
		w.Write(b)
	}))
	defer s.Close()
	addr := strings.TrimPrefix(s.URL, "http://")
	for _, args := range [][]string{{"submit", "-"}, {"status", "job-1"}, {"cancel", "job-1"}} {
		if code, out, e := run(append(args, "--server", addr)...); code != 0 || !strings.Contains(out, `"status":"pending"`) {
			t.Errorf("%v: %d %q %q", args, code, out, e)
		}
	}
	if code, _, e := run("status", "job-9", "--server", addr); code != 1 || !strings.Contains(e, "404") {
		t.Errorf("unknown job: %d %q", code, e)
	}
	if want := "POST /work,GET /work/job-1,POST /work/job-1/cancel,GET /work/job-9"; strings.Join(asked, ",") != want {
		t.Errorf("asked %v", asked)
	}
}
