package server

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/internal/pooler"
)

// composer turns a unit into the bytes for one upstream connection.
type composer struct {
	conn     *pooler.Conn
	bytes    []byte
	expected []expectation
	// sent are the statements that this unit prepares on the connection.
	sent map[string]bool
}

// compose encodes the unit. Statements that the connection lacks are prepared
// on the way.
func (p *composer) compose(u *unit) error {
	if u.end == endQuery {
		p.bytes = append(p.bytes, u.bytes...)
		return nil
	}
	for _, s := range u.steps {
		if err := p.step(u, s); err != nil {
			return err
		}
	}
	if u.end == endFlush {
		return p.add(&pgproto3.Flush{})
	}
	return p.add(&pgproto3.Sync{})
}

func (p *composer) step(u *unit, s step) error {
	switch s.kind {
	case stepParse:
		if s.statement.name != "" && p.holds(s.statement) {
			p.expected = append(p.expected, expectation{kind: stepParse, synthetic: true, name: s.name, statement: s.statement})
			return nil
		}
		return p.parse(s.statement, expectation{kind: stepParse, name: s.name, statement: s.statement})
	case stepCloseStatement:
		p.expected = append(p.expected, expectation{kind: s.kind, synthetic: true, name: s.name})
		return nil
	case stepBind, stepDescribeStatement:
		if !p.holds(s.statement) {
			if err := p.parse(s.statement, expectation{kind: stepParse, swallowed: true, statement: s.statement}); err != nil {
				return err
			}
		}
	}
	p.bytes = append(p.bytes, u.bytes[s.start:s.end]...)
	p.expected = append(p.expected, expectation{kind: s.kind})
	return nil
}

// holds reports whether the connection has the statement at this point.
func (p *composer) holds(st *statement) bool {
	if p.sent[st.name] {
		return true
	}
	return st.name != "" && p.conn.IsPrepared(st.name)
}

func (p *composer) parse(st *statement, e expectation) error {
	if st.name != "" {
		if oldest, ok := p.conn.EvictPrepared(); ok {
			p.expected = append(p.expected, expectation{kind: stepCloseStatement, swallowed: true})
			if err := p.add(&pgproto3.Close{ObjectType: 'S', Name: oldest}); err != nil {
				return err
			}
		}
	}
	if p.sent == nil {
		p.sent = map[string]bool{}
	}
	p.sent[st.name] = true
	p.bytes = append(p.bytes, st.parse...)
	p.expected = append(p.expected, e)
	return nil
}

func (p *composer) add(m pgproto3.FrontendMessage) error {
	b, err := m.Encode(p.bytes)
	if err != nil {
		return fmt.Errorf("server: encode message: %w", err)
	}
	p.bytes = b
	return nil
}
