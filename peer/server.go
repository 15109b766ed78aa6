package peer

import (
	"net"
	"net/rpc"
	"sync"
)

// Server serves net/rpc services to peers. It is safe for concurrent use.
type Server struct {
	rpc    *rpc.Server
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	meter  *meter
}

// NewServer returns a Server without services.
func NewServer() *Server {
	return &Server{
		rpc:   rpc.NewServer(),
		conns: make(map[net.Conn]struct{}),
		meter: newMeter(sideServer),
	}
}

// Register adds the methods of service under name. It panics if service has no
// suitable method or name is taken, which are programming errors.
func (s *Server) Register(name string, service any) {
	if err := s.rpc.RegisterName(name, service); err != nil {
		panic(err)
	}
	for _, method := range methodsOf(name, service) {
		s.meter.addMethod(method)
	}
}

// SetMetrics makes the server count the bytes of all calls in m. Like Register,
// it must be called before the first connection is served.
func (s *Server) SetMetrics(m *Metrics) { s.meter.Metrics = m }

// Serve accepts connections on l until l or the server is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.ServeConn(conn)
	}
}

// ServeConn serves one connection until it is closed by the peer or by Close.
func (s *Server) ServeConn(conn net.Conn) {
	if !s.add(conn) {
		_ = conn.Close()
		return
	}
	defer s.remove(conn)
	s.rpc.ServeCodec(serverCodec{newCodec(conn, s.meter)})
}

// add registers conn for Close. It returns false if the server is closed.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes all connections. Further connections are refused.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}
