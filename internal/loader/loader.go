// Package loader is an open-loop load generator. It sends requests with pgx and
// measures latency, errors and consistency as callers see them.
//
// Latency counts from a request's scheduled time, so a slow response also counts
// against the requests behind it (no coordinated omission).
//
// # Usage
//
//	l := &loader.Loader{Name: "proxy", URLs: urls, Profile: profile, Seed: 1}
//	result, err := l.Run(ctx)
package loader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/shallotstage/shallotstage/internal/pauser"
)

const (
	// maxLatency is the highest latency that is told apart.
	maxLatency     = 2 * time.Minute
	requestTimeout = 30 * time.Second
	reconnectDelay = 50 * time.Millisecond
	tableName      = "shallotstage_load"
)

// Loader generates the load of one run. The ids of its rows start with Name; callers
// connect to URLs in turn.
type Loader struct {
	Name    string
	URLs    []string
	Profile Profile
	Seed    uint64
	// Dial opens the network connection of a caller; nil means the default of pgx.
	Dial pgconn.DialFunc

	mu      sync.Mutex
	start   time.Time
	reads   *hdrhistogram.Histogram
	writes  *hdrhistogram.Histogram
	result  Result
	seconds map[int]*secondSamples
}

type secondSamples struct {
	SecondStats
	latencies []float64
}

// Run generates the load until the duration of the profile has passed or ctx ends.
func (l *Loader) Run(ctx context.Context) (*Result, error) {
	if err := l.Profile.Validate(); err != nil {
		return nil, err
	}
	if err := l.prepare(ctx); err != nil {
		return nil, err
	}
	l.reads = hdrhistogram.New(1, int64(maxLatency), 3)
	l.writes = hdrhistogram.New(1, int64(maxLatency), 3)
	l.seconds = map[int]*secondSamples{}
	l.result = Result{Name: l.Name, Profile: l.Profile, ErrorCounts: map[string]int{}}
	l.start = time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.Profile.duration())
	defer cancel()
	var wg sync.WaitGroup
	for i := range l.Profile.Callers {
		c := &caller{loader: l, id: fmt.Sprintf("%s-%d", l.Name, i), urlIndex: i, rand: rand.New(rand.NewPCG(l.Seed, uint64(i)))}
		wg.Add(1)
		go func() { defer wg.Done(); c.run(ctx) }()
	}
	wg.Wait()
	return l.summarise(), nil
}

// prepare creates the table and resets one row per caller to 0.
func (l *Loader) prepare(ctx context.Context) error {
	conn, err := pgx.Connect(ctx, l.URLs[0])
	if err != nil {
		return fmt.Errorf("loader: connect: %w", err)
	}
	defer func() { _ = conn.Close(ctx) }()
	if _, err := conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS "+tableName+" (id text PRIMARY KEY, n bigint)"); err != nil {
		return fmt.Errorf("loader: create table: %w", err)
	}
	rows := make([]string, l.Profile.Callers)
	for i := range rows {
		rows[i] = fmt.Sprintf("('%s-%d', 0)", l.Name, i)
	}
	if _, err := conn.Exec(ctx, "DELETE FROM "+tableName+" WHERE id LIKE '"+l.Name+"-%'"); err != nil {
		return fmt.Errorf("loader: clear rows: %w", err)
	}
	if _, err := conn.Exec(ctx, "INSERT INTO "+tableName+" (id, n) VALUES "+strings.Join(rows, ", ")); err != nil {
		return fmt.Errorf("loader: insert rows: %w", err)
	}
	return nil
}

// caller sends the requests of one connection. It counts the writes to its own
// row to detect stale reads and duplicate writes.
type caller struct {
	loader       *Loader
	id           string
	urlIndex     int
	rand         *rand.Rand
	conn         *pgx.Conn
	acknowledged int
	unknown      int
}

func (c *caller) run(ctx context.Context) {
	p := c.loader.Profile
	interval := float64(p.Callers) / p.Rate * float64(time.Second)
	due := time.Now()
	for {
		due = due.Add(time.Duration(c.rand.ExpFloat64() * interval))
		if pauser.Sleep(ctx, time.Until(due)) != nil {
			c.close()
			return
		}
		c.request(context.WithoutCancel(ctx), due)
	}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close(context.Background())
		c.conn = nil
	}
}

// request sends one request and waits for its response. It waits past the end of
// the run as well, so that a request scheduled within the run counts with its
// full latency.
func (c *caller) request(ctx context.Context, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if c.rand.Float64() < c.loader.Profile.ReconnectShare {
		c.close()
	}
	if c.conn == nil || c.conn.IsClosed() {
		if err := c.connect(ctx); err != nil {
			c.loader.observe(false, due, &connectError{err})
			_ = pauser.Sleep(ctx, reconnectDelay)
			return
		}
	}
	if c.rand.Float64() < c.loader.Profile.WriteShare {
		c.write(ctx, due)
		return
	}
	c.read(ctx, due)
}

func (c *caller) connect(ctx context.Context) error {
	c.urlIndex++
	cfg, err := pgx.ParseConfig(c.loader.URLs[c.urlIndex%len(c.loader.URLs)])
	if err != nil {
		return fmt.Errorf("loader: parse URL: %w", err)
	}
	if age := c.loader.Profile.maxAge(); age > 0 {
		cfg.RuntimeParams["shallotstage.max_age"] = age.String()
	}
	if c.loader.Dial != nil {
		cfg.DialFunc = c.loader.Dial
	}
	c.conn, err = pgx.ConnectConfig(ctx, cfg)
	return err
}

func (c *caller) write(ctx context.Context, due time.Time) {
	_, err := c.conn.Exec(ctx, "UPDATE "+tableName+" SET n = n + 1 WHERE id = $1", c.id)
	switch c.loader.observe(true, due, err) {
	case outcomeServed:
		c.acknowledged++
	case outcomeUnknown:
		c.unknown++
	}
}

func (c *caller) read(ctx context.Context, due time.Time) {
	var n int
	err := c.conn.QueryRow(ctx, "SELECT n FROM "+tableName+" WHERE id = $1", c.id).Scan(&n)
	if c.loader.observe(false, due, err) != outcomeServed {
		return
	}
	c.loader.mu.Lock()
	defer c.loader.mu.Unlock()
	if n < c.acknowledged && c.loader.Profile.MaxStalenessMS == 0 {
		c.loader.result.StaleReads++
	}
	if n > c.acknowledged+c.unknown {
		c.loader.result.DuplicateWrites++
	}
}

// outcome states whether a request was executed, as far as its caller can know:
// it was (served), it was not (refused), or it may have been (unknown).
type outcome string

const (
	outcomeServed  outcome = "served"
	outcomeRefused outcome = "refused"
	outcomeUnknown outcome = "unknown"
)

// connectError reports that a connection could not be opened, so that no request
// was sent.
type connectError struct{ err error }

// Error implements error.
func (e *connectError) Error() string { return "loader: connect: " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *connectError) Unwrap() error { return e.err }

func classifyError(err error) (outcome, string) {
	var pe *pgconn.PgError
	var ce *connectError
	// The second result is the key in Result.ErrorCounts: a SQLSTATE, "connect" or
	// "connection".
	switch {
	case err == nil:
		return outcomeServed, ""
	case errors.As(err, &ce) && errors.As(err, &pe):
		return outcomeRefused, pe.Code
	case errors.As(err, &ce):
		return outcomeRefused, "connect"
	case errors.As(err, &pe) && strings.Contains(pe.Detail, "verdict=not_run"):
		return outcomeRefused, pe.Code
	case errors.As(err, &pe):
		return outcomeUnknown, pe.Code
	}
	return outcomeUnknown, "connection"
}

// observe records the outcome and the latency of a request that was scheduled at
// due.
func (l *Loader) observe(write bool, due time.Time, err error) outcome {
	latency := time.Since(due)
	o, code := classifyError(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := int(due.Sub(l.start) / time.Second)
	s := l.seconds[offset]
	if s == nil {
		s = &secondSamples{SecondStats: SecondStats{Offset: offset}}
		l.seconds[offset] = s
	}
	switch o {
	case outcomeServed:
		s.Served++
		s.latencies = append(s.latencies, milliseconds(int64(latency)))
		h := l.reads
		if write {
			h = l.writes
		}
		_ = h.RecordValue(min(int64(latency), int64(maxLatency)))
		return o
	case outcomeRefused:
		s.Refused++
		l.result.Refused++
	case outcomeUnknown:
		s.Unknown++
		l.result.Unknown++
	}
	l.result.ErrorCounts[code]++
	return o
}

func milliseconds(ns int64) float64 { return float64(ns/1000) / 1000 }

// summarise computes the quantiles and the statistics of each second, and returns
// the result.
func (l *Loader) summarise() *Result {
	l.result.Reads, l.result.Writes = quantiles(l.reads), quantiles(l.writes)
	for _, s := range l.seconds {
		sort.Float64s(s.latencies)
		if n := len(s.latencies); n > 0 {
			s.MedianMS, s.MaxMS = s.latencies[n/2], s.latencies[n-1]
		}
		l.result.Seconds = append(l.result.Seconds, s.SecondStats)
	}
	sort.Slice(l.result.Seconds, func(i, j int) bool { return l.result.Seconds[i].Offset < l.result.Seconds[j].Offset })
	return &l.result
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(), P50: milliseconds(h.ValueAtQuantile(50)), P99: milliseconds(h.ValueAtQuantile(99)),
		P999: milliseconds(h.ValueAtQuantile(99.9)), Max: milliseconds(h.Max()),
	}
}
