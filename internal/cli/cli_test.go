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

// runCommand runs a command line with a job as its standard input, and returns the exit code, the output
// and the error output.
func runCommand(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := Run(args, strings.NewReader(`{"id":"job-1"}`), &out, &errOut)
	return code, out.String(), errOut.String()
}

// TestUsageErrorsExitWithCodeTwo checks that an error in the settings or on the command line leads to exit
// code 2 and one line of error output. If a setting is missing or invalid, the line must name the setting.
func TestUsageErrorsExitWithCodeTwo(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	if err := os.WriteFile(file, []byte(`{"label":"a"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"--config", file}, {"check-config", "--config", file}} {
		code, _, errOut := runCommand(args...)
		if code != 2 || strings.Count(errOut, "\n") != 1 || !strings.Contains(errOut, "api_addr") {
			t.Errorf("%v: exit code %d, error output %q; want code 2 and one line with api_addr", args, code, errOut)
		}
	}
	for _, args := range [][]string{{}, {"--bogus"}, {"status"}, {"--config", file + ".missing"}, {"submit", "/nonexistent"}} {
		if code, _, errOut := runCommand(args...); code != 2 || strings.Count(errOut, "\n") != 1 {
			t.Errorf("%v: exit code %d, error output %q; want code 2 and one line", args, code, errOut)
		}
	}
	if code, out, _ := runCommand("version"); code != 0 || !strings.HasPrefix(out, "umberpaddle ") {
		t.Errorf("version: exit code %d, output %q", code, out)
	}
}

// TestClientCommands checks the requests that submit, status and cancel send, that these commands print the
// response, and that a response with an error status leads to exit code 1.
func TestClientCommands(t *testing.T) {
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests = append(requests, r.Method+" "+r.URL.Path)
		body, _ := io.ReadAll(r.Body)
		var job map[string]any
		if r.URL.Path == "/work" && (wire.Decode(body, &job) != nil || job["id"] != "job-1") {
			w.WriteHeader(400)
			return
		}
		if r.URL.Path == "/work/job-9" {
			w.WriteHeader(404)
			return
		}
		response, err := wire.Encode(wire.JobStatus{ID: "job-1", Status: "pending"})
		if err != nil {
			t.Error(err)
		}
		w.Write(response)
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	for _, args := range [][]string{{"submit", "-"}, {"status", "job-1"}, {"cancel", "job-1"}} {
		if code, out, errOut := runCommand(append(args, "--server", addr)...); code != 0 || !strings.Contains(out, `"status":"pending"`) {
			t.Errorf("%v: exit code %d, output %q, error output %q", args, code, out, errOut)
		}
	}
	if code, _, errOut := runCommand("status", "job-9", "--server", addr); code != 1 || !strings.Contains(errOut, "404") {
		t.Errorf("unknown job: exit code %d, error output %q", code, errOut)
	}
	if want := "POST /work,GET /work/job-1,POST /work/job-1/cancel,GET /work/job-9"; strings.Join(requests, ",") != want {
		t.Errorf("the commands sent the requests %v", requests)
	}
}
