// Program review-world2 plays the outside world of a small deployment for the cases of review/REPORT-2.md:
// the state service, the cloud, the workers and the users, on loopback sockets and the real clock. It starts
// the controllers as separate processes with the run line of deploy/service.toml.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// world holds everything outside the controllers. mu protects all of it.
type world struct {
	mu       sync.Mutex
	start    time.Time
	record   *os.File
	recordMu sync.Mutex

	cfg      clusterConfig
	state    *stateService
	cloud    *cloud
	jobs     map[string]*job // uploaded by the users
	finished map[string]bool // tasks whose result is kept
	nodes    []*node
	noState  map[string]bool                         // controllers that are cut off from the state service
	noPeers  map[string]bool                         // controllers that are cut off from the other controllers
	onLaunch func(m *machine, s *sheet, from string) // called with mu held when a worker gets a command to start a task
	usage    func(w *world, what string)             // called with mu held after a task began or left
}

// clusterConfig is the deployment that a case plays.
type clusterConfig struct {
	nodes                    int
	teams                    []team
	types                    []machineType
	capacity                 map[string]int // ordinary machines by type
	reportS, leaseS, cancelS float64
	gangWaitS, gangPeerS     float64
	rps, writeRPS, valueKB   float64
	txnOps                   int
	cloudRPS, listLagS       float64
	objectives               []any
	bootS                    func(n int) float64 // boot time of the n-th machine
}

type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

type machineType struct {
	Label        string   `msgpack:"label"`
	Cores        float64  `msgpack:"cores"`
	Accelerators float64  `msgpack:"accelerators"`
	RAMGB        float64  `msgpack:"ramGb"`
	LocalGB      float64  `msgpack:"localGb"`
	FetchGBPerS  float64  `msgpack:"fetchGbPerS"`
	Hourly       float64  `msgpack:"hourly"`
	LowPrice     float64  `msgpack:"lowPrice"`
	StartupS     float64  `msgpack:"startupS"`
	Valleys      []string `msgpack:"valleys"`
}

// job is a submission, and what the stand-ins need to know beside it.
type job struct {
	ID           string   `msgpack:"id"`
	Docket       string   `msgpack:"docket"`
	Crew         string   `msgpack:"crew"`
	Form         string   `msgpack:"form"`
	Urgency      string   `msgpack:"urgency"`
	Sheets       int      `msgpack:"sheets"`
	Cores        float64  `msgpack:"cores"`
	Accelerators float64  `msgpack:"accelerators"`
	RAMGB        float64  `msgpack:"ramGb"`
	Plate        string   `msgpack:"plate"`
	ImageGB      float64  `msgpack:"imageGb"`
	Builds       []string `msgpack:"builds"`
	Valley       *string  `msgpack:"valley"`
	OneZone      bool     `msgpack:"oneZone"`
	Scatter      bool     `msgpack:"scatter"`
	Loaners      bool     `msgpack:"loaners"`
	ReckonS      float64  `msgpack:"reckonS"`
	MarkS        float64  `msgpack:"markS"`
	StowS        float64  `msgpack:"stowS"`
	DueS         *float64 `msgpack:"dueS"`

	runS     float64       // how long a task really runs
	accepted time.Duration // when its user was told that it is accepted; 0: not yet
	final    string        // the final state that its user was told
	finalAt  time.Duration
}

func newWorld(recordPath string, cfg clusterConfig) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), record: record, cfg: cfg, jobs: map[string]*job{}, finished: map[string]bool{}, noState: map[string]bool{}, noPeers: map[string]bool{}}
	w.state = newStateService(w)
	w.cloud = newCloud(w)
	return w, nil
}

func (w *world) now() time.Duration { return time.Since(w.start) }

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func encode(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		panic(err)
	}
	return buf.Bytes()
}

func decode(b []byte, v any) bool { return msgpack.Unmarshal(b, v) == nil }

// serve answers HTTP requests on a free loopback port and returns its address.
func serve(handle http.HandlerFunc) (addr string, stop func(), err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handle}
	go server.Serve(listener) //nolint: ends with the program
	return listener.Addr().String(), func() { server.Close() }, nil
}

func readAll(r *http.Request) []byte {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	return body
}

// reply writes a status and a body in MessagePack.
func reply(rw http.ResponseWriter, status int, body any) {
	if body == nil {
		rw.WriteHeader(status)
		return
	}
	rw.Header().Set("Content-Type", "application/msgpack")
	rw.WriteHeader(status)
	rw.Write(encode(body)) //nolint: the caller has gone
}

// bucket is a limit on a rate, with bursts.
type bucket struct {
	rate, burst, level float64
	filled             time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst, filled: time.Now()}
}

// take takes n tokens, or reports that the limit is exceeded.
func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}
