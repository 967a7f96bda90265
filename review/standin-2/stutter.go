package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The numbers of the case.
const (
	// linkDelay is that between zones, one way.
	linkDelay = 1400 * time.Microsecond
	// secondShare is the share of the answers that come twice, and maxSecondDelay the longest
	// time until the second one.
	secondShare    = 0.2
	maxSecondDelay = 300 * time.Millisecond
	// busyShare is the share of the begins, or of the session values, that are refused.
	busyShare = 0.2
	// twiceTime and unaskedTime are how long the clients work.
	twiceTime   = 95 * time.Second
	unaskedTime = 60 * time.Second
)

// twiceCase checks that no write takes effect twice.
func twiceCase(rec *record, f *fleet, p *platform, trouble bool) (bool, error) {
	t, err := runTransactions(rec, f, p, trouble, twiceTime)
	return t.twice == 0, err
}

// unaskedCase checks that nothing is committed that no client has asked to commit.
func unaskedCase(rec *record, f *fleet, p *platform, trouble bool) (bool, error) {
	t, err := runTransactions(rec, f, p, trouble, unaskedTime)
	return t.unasked == 0, err
}

// startStuttering starts the hosts and a service whose primary sends some answers twice.
func startStuttering(rec *record, f *fleet, p *platform, trouble bool) (*group, error) {
	g := newGroup(rec, f, "service-1")
	g.link = linkDelay
	if trouble {
		g.stutter = func() (time.Duration, bool) {
			return time.Duration(rand.Float64() * float64(maxSecondDelay)), rand.Float64() < secondShare
		}
	}
	p.groups[g.service] = g
	for _, h := range f.hosts() {
		if err := f.start(h); err != nil {
			return g, err
		}
	}
	if err := f.configure(7, configuration); err != nil {
		return g, err
	}
	for i, zone := range zones {
		if _, err := g.add(fmt.Sprintf("i-%d", i+1), zone); err != nil {
			return g, err
		}
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return g, err
	}
	time.Sleep(3 * time.Second)
	return g, nil
}

// runTransactions runs clients with transactions for a while. The primary refuses some begins,
// and sends some answers twice.
func runTransactions(rec *record, f *fleet, p *platform, trouble bool, length time.Duration) (*transactions, error) {
	t := &transactions{stop: make(chan struct{}), attempts: map[string]*attempt{}, codes: map[string]int{}}
	g, err := startStuttering(rec, f, p, trouble)
	if err != nil {
		return t, err
	}
	g.mu.Lock()
	g.refuseBegin = func() bool { return rand.Float64() < busyShare }
	g.mu.Unlock()
	rec.say("clients: begin")
	var wg sync.WaitGroup
	for _, c := range stutterClients(rec, f) {
		wg.Go(func() { t.work(c) })
	}
	time.Sleep(length)
	close(t.stop)
	wg.Wait()
	t.judge(rec, g)
	return t, nil
}

// stutterClients returns five clients for each entry host.
func stutterClients(rec *record, f *fleet) []*client {
	var clients []*client
	for i, h := range f.fronts {
		for k := range 5 {
			clients = append(clients, &client{rec: rec, name: fmt.Sprintf("client-%d-%d", i+1, k+1), address: f.address(h, portFront), database: "ledger", key: "key-1", rnd: rand.New(rand.NewPCG(uint64(i), uint64(k)))})
		}
	}
	return clients
}

// attempt is one transaction of a client.
type attempt struct {
	writes []string
	// commitSent is true once the client asked for the commit; answer is the last one.
	commitSent bool
	answer     string
}

// transactions are the clients' transactions, by the id of each write.
type transactions struct {
	stop chan struct{}

	mu       sync.Mutex
	attempts map[string]*attempt
	codes    map[string]int
	all      []*attempt
	// twice counts the writes that took effect twice, outside those that ran outside of their
	// transaction and are kept, and unasked those of them whose commit no client asked for.
	twice, outside, unasked int
}

// work runs transactions of one write and a commit, one after the other. Each message waits
// for the answer to the one before.
func (t *transactions) work(c *client) {
	defer c.close()
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(time.Duration(c.rnd.Float64() * float64(40*time.Millisecond))):
		}
		if c.conn == nil && c.open() != nil {
			continue
		}
		a := &attempt{}
		t.mu.Lock()
		t.all = append(t.all, a)
		t.mu.Unlock()
		r := c.query(newID(), "BEGIN")
		for n := 0; n < 1 && ok(r, "T"); n++ {
			id := newID()
			t.mu.Lock()
			a.writes = append(a.writes, id)
			t.attempts[id] = a
			t.mu.Unlock()
			r = c.query(id, fmt.Sprintf("WRITE i%d v%s", c.rnd.IntN(200), id))
		}
		if ok(r, "T") {
			t.mu.Lock()
			a.commitSent = true
			t.mu.Unlock()
			r = c.query(newID(), "COMMIT")
		}
		t.mu.Lock()
		a.answer = r.code
		if r.err != nil {
			a.answer = "no answer"
		}
		t.codes[a.answer]++
		t.mu.Unlock()
		if r.err != nil || r.state != "I" {
			// An operation that ends in another state ends its session.
			c.close()
		}
	}
}

// ok reports whether a statement succeeded and left the session in a state.
func ok(r reply, state string) bool { return r.err == nil && r.code == "" && r.state == state }

// judge counts what no backend may have run.
func (t *transactions) judge(rec *record, g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, a := range t.attempts {
		if g.runs[id] > 1 {
			t.twice++
			rec.add("twice: the write %s took effect %d times; the client's last answer: %q", id, g.runs[id], a.answer)
		}
		if !g.alone[id] {
			continue
		}
		t.outside++
		if !a.commitSent {
			t.unasked++
		}
		rec.add("outside: the write %s of a transaction ran outside of it and is kept; commit sent: %t; the client's last answer: %q", id, a.commitSent, a.answer)
	}
	rec.say("transactions: %d, by last answer (empty: committed): %v", len(t.all), t.codes)
	rec.say("writes that took effect twice: %d; that ran outside of their transaction and are kept: %d; of them those whose commit no client asked for: %d", t.twice, t.outside, t.unasked)
}
