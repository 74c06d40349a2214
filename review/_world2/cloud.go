package main

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// cloud rents machines: PROTOCOL, "Controller nodes -> cloud".
type cloud struct {
	w        *world
	calls    *bucket
	machines map[string]*machine
	hires    map[string][]string
	created  int
}

func newCloud(w *world) *cloud {
	return &cloud{w: w, calls: newBucket(w.cfg.cloudRPS, 2*w.cfg.cloudRPS), machines: map[string]*machine{}, hires: map[string][]string{}}
}

func (c *cloud) typeOf(label string) *machineType {
	for i := range c.w.cfg.types {
		if c.w.cfg.types[i].Label == label {
			return &c.w.cfg.types[i]
		}
	}
	return nil
}

func (c *cloud) handler(label string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		body := readAll(r)
		time.Sleep(20 * time.Millisecond)
		c.w.mu.Lock()
		status, answer := c.serve(label, r, body)
		c.w.mu.Unlock()
		reply(rw, status, answer)
	}
}

func (c *cloud) serve(label string, r *http.Request, body []byte) (int, any) {
	if !c.calls.take(1) {
		c.w.log("cloud: 429 for %s", label)
		return 429, nil
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		return 200, map[string]any{"builds": c.w.cfg.types}
	case "POST /hosts":
		return c.rent(label, body)
	case "POST /hosts/delete":
		var in struct {
			Huts []string `msgpack:"huts"`
		}
		if !decode(body, &in) || len(in.Huts) > 100 {
			return 400, nil
		}
		for _, id := range in.Huts {
			if m := c.machines[id]; m != nil && m.goneAt == 0 {
				c.w.log("cloud: %s deletes %s (%s), tasks %s, last answered report of %s sent %.1f s ago", label, id, m.build.Label, m.taskList(), m.answeredBy, (c.w.now() - m.answeredSent).Seconds())
				m.end("its machine was deleted")
			}
		}
		return 200, map[string]any{}
	case "GET /hosts":
		return c.list(r.URL.Query().Get("since"), r.URL.Query().Get("page"))
	}
	return 400, nil
}

func (c *cloud) rent(label string, body []byte) (int, any) {
	var in struct {
		Hire    string `msgpack:"hire"`
		Build   string `msgpack:"build"`
		Valley  string `msgpack:"valley"`
		Loaners bool   `msgpack:"loaners"`
		Count   int    `msgpack:"count"`
	}
	if !decode(body, &in) || in.Hire == "" || in.Count < 1 || in.Count > 50 || c.typeOf(in.Build) == nil {
		return 400, nil
	}
	if names, ok := c.hires[in.Hire]; ok {
		return 200, map[string]any{"huts": names}
	}
	inUse := 0
	for _, m := range c.machines {
		if m.build.Label == in.Build && m.goneAt == 0 {
			inUse++
		}
	}
	count := min(in.Count, c.w.cfg.capacity[in.Build]-inUse)
	if in.Loaners || count <= 0 {
		return 503, map[string]any{"error": "no capacity"}
	}
	names := []string{}
	for range count {
		m := newMachine(c.w, fmt.Sprintf("i-%06d", c.created), c.typeOf(in.Build), in.Valley)
		c.machines[m.id] = m
		names = append(names, m.id)
		boot := seconds(c.w.cfg.bootS(c.created))
		c.created++
		time.AfterFunc(boot, m.boot)
	}
	c.hires[in.Hire] = names
	c.w.log("cloud: %s rents %d of %s: %s", label, in.Count, in.Build, strings.Join(names, " "))
	return 200, map[string]any{"huts": names}
}

// list tells how things were list_lag_s ago.
func (c *cloud) list(since, page string) (int, any) {
	at := c.w.now() - seconds(c.w.cfg.listLagS)
	limit, _ := strconv.Atoi(page)
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	var names []string
	for id, m := range c.machines {
		if id > since && m.rentedAt <= at && (m.goneAt == 0 || m.goneAt > at) {
			names = append(names, id)
		}
	}
	sort.Strings(names)
	more := len(names) > limit
	names = names[:min(len(names), limit)]
	rows := []any{}
	for _, id := range names {
		m := c.machines[id]
		status := "booting"
		if m.upAt != 0 && m.upAt <= at {
			status = "running"
		}
		rows = append(rows, map[string]any{"id": id, "address": m.addr, "build": m.build.Label, "valley": m.valley, "loaners": false, "status": status, "ageS": (at - m.rentedAt).Seconds()})
	}
	return 200, map[string]any{"huts": rows, "hasNext": more}
}
