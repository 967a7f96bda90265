// Command standin-2 runs the scripts of the second review: it starts the system's programs
// as separate processes on loopback addresses, with stand-ins for clients, backends and the
// platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// limit ends a run that takes too long.
const limit = 110 * time.Second

type caseFunc func(rec *record, f *fleet, p *platform, trouble bool) (held bool, err error)

var cases = map[string]caseFunc{"drain": drainCase, "odd": oddCase, "set": setCase, "twice": twiceCase, "unasked": unaskedCase, "unnamed": unnamedCase}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		return exitUnable
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", os.Args[1], trouble)
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		rec.say("cannot run: %v", err)
		return exitUnable
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	p, err := newPlatform(rec)
	if err != nil {
		rec.say("cannot run: %v", err)
		return exitUnable
	}
	f, err := newFleet(rec, dir, p.address)
	if err != nil {
		rec.say("cannot run: %v", err)
		return exitUnable
	}
	defer f.stop()
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		held, err := cases[os.Args[1]](rec, f, p, trouble)
		done <- result{held, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			rec.say("cannot run: %v", r.err)
			return exitUnable
		}
		if !r.held {
			rec.say("the rule was broken")
			return exitBroken
		}
		rec.say("the rule held")
		return exitHeld
	case <-time.After(limit):
		rec.say("cannot run: it takes too long")
		return exitUnable
	}
}
