package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// platform is the stand-in for the users' platform. It checks fences.
type platform struct {
	rec      *record
	address  string
	listener net.Listener

	mu     sync.Mutex
	down   bool
	groups map[string]*group
	tokens map[string]uint64
}

func newPlatform(rec *record) (*platform, error) {
	l, err := net.Listen("tcp", "127.91.3.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, address: l.Addr().String(), listener: l, groups: map[string]*group{}, tokens: map[string]uint64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.promote)
	go func() { _ = http.Serve(l, mux) }()
	return p, nil
}

// setDown makes the platform answer nothing, or answer again.
func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.rec.say("platform: down %t", down)
}

func (p *platform) promote(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get(words["holder"])
	token, err := strconv.ParseUint(r.Header.Get(words["token"]), 10, 64)
	if err != nil || holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	down, g := p.down, p.groups[order.Service]
	if down {
		p.mu.Unlock()
		p.rec.add("platform: promote %s of %s by %s token %d: not answered, not carried out", order.ID, order.Service, holder, token)
		<-r.Context().Done()
		return
	}
	if g == nil || token < p.tokens[order.Service] {
		p.mu.Unlock()
		p.rec.add("platform: promote %s of %s by %s token %d: 409", order.ID, order.Service, holder, token)
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.tokens[order.Service] = token
	p.mu.Unlock()
	status := g.promote(order.ID)
	p.rec.say("platform: promote %s of %s by %s token %d: %d", order.ID, order.Service, holder, token, status)
	w.WriteHeader(status)
}

// promoteTime is the time that a promotion takes.
const promoteTime = 1000 * time.Millisecond
