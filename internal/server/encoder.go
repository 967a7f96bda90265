package server

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/shallotstage/shallotstage/internal/pooler"
)

// requestEncoder encodes a request for one upstream connection.
type requestEncoder struct {
	conn     *pooler.Conn
	bytes    []byte
	expected []expectedResponse
	// prepared holds the names of the statements that this request prepares on
	// the connection.
	prepared map[string]bool
}

// encode encodes the request. Statements that the connection lacks are prepared
// first.
func (enc *requestEncoder) encode(req *request) error {
	if req.end == endQuery {
		enc.bytes = append(enc.bytes, req.bytes...)
		return nil
	}
	for _, s := range req.steps {
		if err := enc.encodeStep(req, s); err != nil {
			return err
		}
	}
	if req.end == endFlush {
		return enc.appendMessage(&pgproto3.Flush{})
	}
	return enc.appendMessage(&pgproto3.Sync{})
}

func (enc *requestEncoder) encodeStep(req *request, s step) error {
	switch s.kind {
	case stepParse:
		if s.statement.upstreamName != "" && enc.isPrepared(s.statement) {
			enc.expected = append(enc.expected, expectedResponse{kind: stepParse, synthetic: true, name: s.name, statement: s.statement})
			return nil
		}
		return enc.encodeParse(s.statement, expectedResponse{kind: stepParse, name: s.name, statement: s.statement})
	case stepCloseStatement:
		enc.expected = append(enc.expected, expectedResponse{kind: s.kind, synthetic: true, name: s.name})
		return nil
	case stepBind, stepDescribeStatement:
		if !enc.isPrepared(s.statement) {
			if err := enc.encodeParse(s.statement, expectedResponse{kind: stepParse, suppressed: true, statement: s.statement}); err != nil {
				return err
			}
		}
	}
	enc.bytes = append(enc.bytes, req.bytes[s.start:s.end]...)
	enc.expected = append(enc.expected, expectedResponse{kind: s.kind})
	return nil
}

// isPrepared reports whether the connection has the statement at this point of
// the request.
func (enc *requestEncoder) isPrepared(st *statement) bool {
	if enc.prepared[st.upstreamName] {
		return true
	}
	return st.upstreamName != "" && enc.conn.IsPrepared(st.upstreamName)
}

func (enc *requestEncoder) encodeParse(st *statement, e expectedResponse) error {
	if st.upstreamName != "" {
		if oldest, ok := enc.conn.EvictPrepared(); ok {
			enc.expected = append(enc.expected, expectedResponse{kind: stepCloseStatement, suppressed: true})
			if err := enc.appendMessage(&pgproto3.Close{ObjectType: 'S', Name: oldest}); err != nil {
				return err
			}
		}
	}
	if enc.prepared == nil {
		enc.prepared = map[string]bool{}
	}
	enc.prepared[st.upstreamName] = true
	enc.bytes = append(enc.bytes, st.encodedParse...)
	enc.expected = append(enc.expected, e)
	return nil
}

func (enc *requestEncoder) appendMessage(m pgproto3.FrontendMessage) error {
	b, err := m.Encode(enc.bytes)
	if err != nil {
		return fmt.Errorf("server: encode message: %w", err)
	}
	enc.bytes = b
	return nil
}
