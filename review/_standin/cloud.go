package main

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// machineType is a machine type as GET /machine_types shows it.
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

// cloud is a stand-in for the cloud, by PROTOCOL "Controller nodes -> cloud".
type cloud struct {
	mu       sync.Mutex
	world    *world
	types    []machineType
	capacity map[string]int // by type: machines, cheap ones excluded; there are no cheap ones
	machines map[string]*machine
	hires    map[string][]string
	lastID   int
	listLag  time.Duration
	// onDelete is called, before the deletion, for every machine that a controller deletes.
	onDelete func(node string, m *machine)
}

// machine is a rented machine. Its worker exists once the machine is up.
type machine struct {
	id      string
	kind    *machineType
	rented  time.Time
	upAt    time.Time
	deleted bool
	worker  *worker
}

func (c *cloud) typeOf(label string) *machineType {
	for i := range c.types {
		if c.types[i].Label == label {
			return &c.types[i]
		}
	}
	return nil
}

// add adds a machine that was rented some time ago and comes up after boot.
func (c *cloud) add(label string, age, boot time.Duration) *machine {
	c.lastID++
	m := &machine{id: fmt.Sprintf("i-%06d", c.lastID), kind: c.typeOf(label), rented: time.Now().Add(-age), upAt: time.Now().Add(boot)}
	c.machines[m.id] = m
	time.AfterFunc(boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !m.deleted {
			m.worker = c.world.startWorker(m)
		}
	})
	return m
}

func (c *cloud) used(label string) int {
	count := 0
	for _, m := range c.machines {
		if m.kind.Label == label && !m.deleted {
			count++
		}
	}
	return count
}

func (c *cloud) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/machine_types":
			reply(w, 200, map[string]any{"builds": c.types})
		case r.URL.Path == "/hosts" && r.Method == "POST":
			c.rent(w, r, node)
		case r.URL.Path == "/hosts/delete":
			c.delete(w, r, node)
		case r.URL.Path == "/hosts":
			c.list(w, r)
		default:
			reply(w, 400, nil)
		}
	})
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request, node string) {
	var body struct {
		Hire    string `msgpack:"hire"`
		Build   string `msgpack:"build"`
		Valley  string `msgpack:"valley"`
		Loaners bool   `msgpack:"loaners"`
		Count   int    `msgpack:"count"`
	}
	if !read(r, &body) || c.typeOf(body.Build) == nil || body.Count < 1 || body.Count > 50 {
		reply(w, 400, nil)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ids, ok := c.hires[body.Hire]; ok {
		reply(w, 200, map[string]any{"huts": ids})
		return
	}
	var ids []string
	for len(ids) < body.Count && !body.Loaners && c.used(body.Build) < c.capacity[body.Build] {
		boot := time.Duration(c.typeOf(body.Build).StartupS * float64(time.Second))
		ids = append(ids, c.add(body.Build, 0, boot).id)
	}
	c.world.record("cloud: %s asks for %d %s (cheap: %v): rented %v", node, body.Count, body.Build, body.Loaners, ids)
	if len(ids) == 0 {
		reply(w, 503, map[string]any{"error": "no capacity"})
		return
	}
	c.hires[body.Hire] = ids
	reply(w, 200, map[string]any{"huts": ids})
}

func (c *cloud) delete(w http.ResponseWriter, r *http.Request, node string) {
	var body struct {
		Huts []string `msgpack:"huts"`
	}
	if !read(r, &body) || len(body.Huts) > 100 {
		reply(w, 400, nil)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range body.Huts {
		m := c.machines[id]
		if m == nil || m.deleted {
			continue
		}
		running := []string{}
		if m.worker != nil {
			running = m.worker.runningTasks()
		}
		c.world.record("cloud: %s deletes %s (%s), on it: %v", node, id, m.kind.Label, running)
		if c.onDelete != nil {
			c.onDelete(node, m)
		}
		m.deleted = true
		if m.worker != nil {
			m.worker.stop()
		}
	}
	reply(w, 200, nil)
}

// list answers as of listLag ago: machines rented since are missing, and machines deleted since
// would still be listed; this stand-in leaves the latter out, as if their deletion were older.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-c.listLag)
	page, _ := strconv.Atoi(r.URL.Query().Get("page"))
	if page <= 0 || page > 500 {
		page = 500
	}
	var ids []string
	for id, m := range c.machines {
		if !m.deleted && id > r.URL.Query().Get("since") && m.rented.Before(at) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	more := len(ids) > page
	if more {
		ids = ids[:page]
	}
	rows := []map[string]any{}
	for _, id := range ids {
		m := c.machines[id]
		status, address := "booting", ""
		if m.upAt.Before(at) {
			status = "running"
		}
		if m.worker != nil {
			address = m.worker.address
		}
		rows = append(rows, map[string]any{"id": id, "address": address, "build": m.kind.Label, "valley": strings.Join(m.kind.Valleys, ","), "loaners": false, "status": status, "ageS": at.Sub(m.rented).Seconds()})
	}
	reply(w, 200, map[string]any{"huts": rows, "hasNext": more})
}
