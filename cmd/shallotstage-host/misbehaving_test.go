package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The tests in misbehaving_*_test.go check that a process survives callers and peers that do not
// keep to the protocol. They lower the process's limits in its settings, so that a small
// group of offenders exceeds them, and check three things that do not depend on speed: the process
// lives, its memory and descriptors stay within the settings, and an ordinary request is
// answered while the offenders are still connected.
const (
	// limitedMemoryMB and limitedMaxFDs are the limits in the settings, and the bounds of
	// the checks. An idle host takes about a fifth of the memory.
	limitedMemoryMB = 96
	limitedMaxFDs   = 700
	// legalBytes is the size of the largest legal message.
	legalBytes = 1 << 20
	// ordinaryTimeout ends the wait for an answer to the ordinary request. It only keeps
	// a failed test from running for ever.
	ordinaryTimeout = 20 * time.Second
	// sendTimeout ends an offender's write that the process does not read.
	sendTimeout = 5 * time.Second
)

// Texts of statements that the stand-in upstream of these tests treats in a special way.
const (
	// readLarge is answered with largeRows rows of largeRowBytes.
	readLarge = "READ large"
	// readEndless is answered with rows without end.
	readEndless = "READ endless"
	// readUnanswered is never answered.
	readUnanswered = "READ unanswered"
	largeRows      = 14
	largeRowBytes  = 512 << 10
)

// limitedFleet is a fleet with low limits: three control hosts and an entry host. The
// offenders have organisation "offender" and key "c", the ordinary caller another organisation.
type limitedFleet struct {
	*fleet
	controls []*hostProcess
	entry    *hostProcess

	mu    sync.Mutex
	conns []net.Conn
}

func startLimitedFleet(t *testing.T) *limitedFleet {
	f := &limitedFleet{fleet: newFleet(t)}
	f.memoryMB, f.maxFDs = limitedMemoryMB, limitedMaxFDs
	for _, ip := range []string{"127.0.0.2", "127.0.0.3", "127.0.0.4"} {
		f.controls = append(f.controls, f.start("control", ip))
	}
	f.entry = f.start("entry", "127.0.0.5")
	control := "http://" + f.address("127.0.0.3", portControl)
	configuration := `{"version":3,"limits":{"tx_idle_ms":1000},
"routes":[{"name":"r","host":"db","path_prefix":"/","type":"primary","timeout_ms":2000,"service":"s"}],
"services":[{"name":"s","max_conns":64}],
"tenants":[{"name":"offender","api_keys":["c"],"rate_per_s":100000,"burst":100000},{"name":"ordinary","api_keys":["o"],"rate_per_s":1000,"burst":1000}]}`
	f.waitFor("the configuration's acknowledgement", func() bool { return call("PUT", control+"/config", configuration) == 200 })
	heartbeat := fmt.Sprintf(`{"service":"s","address":"%s","zone":"a","slots":64,"state":"ready","db_role":"primary","seq":1,"born":5}`, startUpstream(t, serveLimitedUpstream))
	f.waitFor("the heartbeat's acknowledgement", func() bool { return call("PUT", control+"/instances/i-1", heartbeat) == 200 })
	f.waitFor("readiness", func() bool { return call("GET", "http://"+f.address(f.entry.ip, portReady)+"/ready", "") == 200 })
	f.waitFor("a first answer", func() bool { return f.ordinaryRequest() == nil })
	t.Cleanup(f.closeOffenders)
	return f
}

// serveLimitedUpstream answers as a primary, with large, endless or no answers to some reads.
func serveLimitedUpstream(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	if _, err := r.ReadString('\n'); err != nil {
		return
	}
	row := "ROW " + strings.Repeat("x", largeRowBytes) + "\r\n"
	state, answer := "I", ""
	for {
		if _, err := fmt.Fprintf(conn, "%sREADY %s 1.7\r\n", answer, state); err != nil {
			return
		}
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		answer = "COMPLETE -\r\n"
		switch {
		case strings.Contains(line, readLarge):
			answer = strings.Repeat(row, largeRows) + "COMPLETE " + newSignature() + "\r\n"
		case strings.Contains(line, readEndless):
			for err == nil {
				_, err = conn.Write([]byte(row))
			}
			return
		case strings.Contains(line, readUnanswered):
			_, _ = r.ReadString('\n')
			return
		case strings.Contains(line, " BEGIN"):
			state = "T"
		case strings.Contains(line, " COMMIT"):
			state, answer = "I", "COMPLETE "+newSignature()+"\r\n"
		case strings.Contains(line, " ROLLBACK"), strings.Contains(line, " RESET"):
			state = "I"
		case strings.Contains(line, " READ "), strings.Contains(line, " WRITE "):
			answer = "ROW one\r\nCOMPLETE " + newSignature() + "\r\n"
		}
	}
}

// misbehave runs offender n times at once, each with an open connection to an address, and
// waits until all have returned. Connections that could not be opened or were closed are
// the process's right; the others stay open until the test ends.
func (f *limitedFleet) misbehave(n int, address string, offender func(i int, conn net.Conn)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			if conn := f.join(address); conn != nil {
				offender(i, conn)
			}
		})
	}
	wg.Wait()
}

// join opens a connection of an offender, or returns nil.
func (f *limitedFleet) join(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return nil
	}
	f.mu.Lock()
	f.conns = append(f.conns, conn)
	f.mu.Unlock()
	return conn
}

func (f *limitedFleet) closeOffenders() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

func (f *limitedFleet) callers() string { return f.address(f.entry.ip, portCaller) }

// send writes until all is written, the process has closed the connection, or it has
// not read for sendTimeout.
func send(conn net.Conn, b []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err := conn.Write(b)
	return err
}

// readReply reads lines up to READY and returns the first one.
func readReply(r *bufio.Reader) (string, error) {
	first := ""
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return first, err
		}
		line = strings.TrimRight(line, "\r\n")
		if first == "" {
			first = line
		}
		if strings.HasPrefix(line, "READY") {
			return first, nil
		}
	}
}

// openSession opens a session of the offenders' organisation. It returns nil if the process
// refuses it or closes the connection.
func openSession(conn net.Conn) *bufio.Reader {
	_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
	r := bufio.NewReader(conn)
	if send(conn, []byte("STARTUP db c\r\n")) != nil {
		return nil
	}
	if first, err := readReply(r); err != nil || !strings.HasPrefix(first, "READY") {
		return nil
	}
	return r
}

// ordinaryRequest opens a session of another organisation and runs one read in it.
func (f *limitedFleet) ordinaryRequest() error {
	conn, err := net.DialTimeout("tcp", f.callers(), 3*time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprint(conn, "STARTUP db o\r\nQUERY o1 READ x\r\n"); err != nil {
		return err
	}
	r := bufio.NewReader(conn)
	for _, want := range []string{"READY I -", "ROW one"} {
		first, err := readReply(r)
		if err != nil {
			return fmt.Errorf("waiting for %q: %w", want, err)
		}
		if first != want {
			return fmt.Errorf("answer %q, want %q", first, want)
		}
	}
	return nil
}

// check runs act, the offenders, against a process, and checks the process. The offenders'
// connections are still open during the checks.
func (f *limitedFleet) check(p *hostProcess, act func()) {
	f.t.Helper()
	stop, sampled := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			most = max(most, openDescriptors(p))
			select {
			case <-stop:
				sampled <- most
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	act()
	f.settle(p)
	var problems []string
	if problem := f.ordinaryProblem(p); problem != "" {
		problems = append(problems, problem)
	}
	close(stop)
	if most := <-sampled; most > f.maxFDs {
		problems = append(problems, fmt.Sprintf("%d open descriptors, bound %d", most, f.maxFDs))
	}
	peak, alive := peakMemory(p)
	if !alive {
		problems = append(problems, "the process has ended")
	}
	if bound := int64(f.memoryMB) << 20; peak > bound {
		problems = append(problems, fmt.Sprintf("memory %d MiB, bound %d MiB", peak>>20, f.memoryMB))
	}
	f.t.Logf("peak memory of %s: %d MiB", p.ip, peak>>20)
	// All in one line: .ci/known-red wants the text of a listed test once.
	if len(problems) > 0 {
		f.t.Errorf("%s is outside its limits: %s", p.ip, strings.Join(problems, "; "))
	}
}

// ordinaryProblem waits until ordinary requests are answered: a caller's, and one for the
// configuration if the process is a control host. It returns what is wrong if they are not.
func (f *limitedFleet) ordinaryProblem(p *hostProcess) string {
	for deadline := time.Now().Add(ordinaryTimeout); ; time.Sleep(50 * time.Millisecond) {
		err := f.ordinaryRequest()
		if err == nil && p != f.entry {
			if status := call("GET", "http://"+f.address(p.ip, portControl)+"/config", ""); status != 200 {
				err = fmt.Errorf("status %d of GET /config", status)
			}
		}
		if err == nil {
			return ""
		}
		if time.Now().After(deadline) {
			return fmt.Sprintf("no ordinary request is answered (%v)", err)
		}
	}
}

// peakMemory returns the largest resident memory of a process so far (VmHWM); ok is
// false if the process has ended.
func peakMemory(p *hostProcess) (peak int64, ok bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10, err == nil
		}
	}
	return 0, false
}

func openDescriptors(p *hostProcess) int {
	entries, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "fd"))
	return len(entries)
}

// settle waits until the process has read what the offenders have sent, or reads no more:
// otherwise a check could come before the process holds what it was sent.
func (f *limitedFleet) settle(p *hostProcess) {
	last, same := -1, 0
	for same < 5 {
		now := f.receiveQueues(p)
		if now == last {
			same++
		} else {
			last, same = now, 0
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// receiveQueues returns the bytes that wait in the receive queues of the process's
// listening ports.
func (f *limitedFleet) receiveQueues(p *hostProcess) int {
	table, err := os.ReadFile("/proc/net/tcp")
	qt.Assert(f.t, err, qt.IsNil)
	ip := net.ParseIP(p.ip).To4()
	prefix := []byte(fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0]))
	sum := 0
	for line := range bytes.Lines(table) {
		fields := bytes.Fields(line)
		if len(fields) < 5 || !bytes.HasPrefix(fields[1], prefix) {
			continue
		}
		if _, queue, ok := strings.Cut(string(fields[4]), ":"); ok {
			n, _ := strconv.ParseInt(queue, 16, 64)
			sum += int(n)
		}
	}
	return sum
}
