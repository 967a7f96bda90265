package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the account of a run: what was sent, answered and run, with the time since the
// start of the run in milliseconds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), begun: time.Now()}, nil
}

// add adds a line.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8d ", time.Since(r.begun).Milliseconds())
	fmt.Fprintf(r.out, format, arguments...)
	fmt.Fprintln(r.out)
}

// say adds a line and prints it.
func (r *record) say(format string, arguments ...any) {
	r.add(format, arguments...)
	fmt.Printf("%8d "+format+"\n", append([]any{time.Since(r.begun).Milliseconds()}, arguments...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
