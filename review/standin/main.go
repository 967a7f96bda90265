// Command standin plays one case of the review: it starts the project's own programs as
// processes on loopback addresses, is their clients, upstreams and platform, and checks one
// rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
//
//	standin CASE RECORD [TROUBLE]
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 117 * time.Second

var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"stale-read":     staleRead,
	"sync-lost":      syncLost,
	"split-line":     splitLine,
	"key-moved":      keyMoved,
	"trailing-blank": trailingBlank,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD [TROUBLE]")
		return 2
	}
	// The children end with the thread that started them.
	runtime.LockOSThread()
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	time.AfterFunc(timeLimit, func() {
		r.logf("the case took too long")
		os.Exit(2)
	})
	broken, err := cases[os.Args[1]](r, len(os.Args) < 4 || os.Args[3] != "0")
	switch {
	case err != nil:
		r.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		r.logf("the rule was broken")
		return 1
	}
	r.logf("the rule held")
	return 0
}
