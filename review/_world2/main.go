package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// caseRun is one run of a case.
type caseRun struct {
	*world
	trouble bool
	dir     string
	broken  []string // what broke the rule
}

// breaks notes a breach of the case's rule. It is called with mu held.
func (c *caseRun) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.broken = append(c.broken, text)
	c.log("RULE BROKEN: %s", text)
}

var cases = map[string]struct {
	config clusterConfig
	play   func(c *caseRun) error
}{
	"quota":    {twoKinds(30, 2), playQuota},
	"started":  {twoKinds(5, 4), playStarted},
	"finished": {twoKinds(5, 4), playFinished},
	"kept":     {withGangs(), playKept},
}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(run(*name, *record, *trouble))
}

func run(name, record string, trouble bool) int {
	chosen, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return couldNot
	}
	dir, err := os.MkdirTemp("", "review-world2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer os.RemoveAll(dir)
	w, err := newWorld(record, chosen.config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	c := &caseRun{world: w, trouble: trouble, dir: dir}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- chosen.play(c) }()
	select {
	case err = <-result:
	case <-stop:
		err = fmt.Errorf("stopped from outside")
	case <-time.After(116 * time.Second):
		err = fmt.Errorf("not over after 116 s")
	}
	w.mu.Lock()
	count := len(c.broken)
	w.mu.Unlock()
	w.log("the end: rule broken %d times, error: %v", count, err)
	w.killNodes()
	switch {
	case count > 0:
		fmt.Printf("the rule was broken %d times, first: %s\n", count, c.broken[0])
		return broken
	case err != nil:
		fmt.Println("the case could not run:", err)
		return couldNot
	}
	fmt.Println("the rule held")
	return held
}

// begin starts the controllers and waits until they are ready.
func (c *caseRun) begin() error {
	if err := c.startNodes(c.dir); err != nil {
		return err
	}
	if !c.waitReady(15 * time.Second) {
		return fmt.Errorf("the controllers did not become ready")
	}
	c.log("all controllers are ready")
	return nil
}

// waitFor waits until a condition, evaluated with mu held, is true.
func (c *caseRun) waitFor(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c.mu.Lock()
		ok := condition()
		c.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// running counts the tasks of a job that run now.
func (w *world) running(j *job) int {
	count := 0
	for _, m := range w.cloud.machines {
		for _, s := range m.sheets {
			if s.job == j && s.status == "running" {
				count++
			}
		}
	}
	return count
}
