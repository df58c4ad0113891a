package comfreyserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// unusedTimeout is how long after it was accepted a connection is kept during a
	// stop on which nothing has arrived; its caller may be about to send a request.
	unusedTimeout = 5 * time.Second
	// drainInterval is how often connections are checked during a stop. A change of
	// their states is noticed at once.
	drainInterval = 50 * time.Millisecond
)

// Config holds the handler and the limits of a Server.
type Config struct {
	Handler http.Handler
	// The limits of http.Server.
	MaxHeaderBytes                              int
	ReadHeaderTimeout, ReadTimeout, IdleTimeout time.Duration
	// MaxConnections bounds the open connections; further ones wait in the accept
	// queue. Zero means no bound.
	MaxConnections int
	// EndsConnections makes the responses that begin during a stop the last ones of their
	// connections; otherwise the handler has to.
	EndsConnections bool
	// OnUnanswered is called when a connection has ended on which bytes of a request
	// were read that the handler did not get; it may be nil.
	OnUnanswered func(Unanswered)
	// OnCut is called when the server is closed while a request is in the handler; it may
	// be nil.
	OnCut func(*http.Request)
}

// Server is an HTTP server on one listener. It is safe for concurrent use.
type Server struct {
	config Config
	http   *http.Server
	// callers accepts connections; nil if the listener is not one on TCP. limited
	// bounds them; nil if they have no bound.
	callers *stoppableListener
	limited *limitedListener

	mu          sync.Mutex
	listener    *trackingListener
	connections map[*connection]struct{}
	isServing   bool
	isStopped   bool
	isClosed    bool
	// endsUnused means that connections without a request are ended however new they are.
	endsUnused bool
	// dropErr is the result of dropping new connections.
	dropOnce sync.Once
	dropErr  error
	// changed receives a value after a connection has changed its state.
	changed chan struct{}
}

// New returns a server for a listener.
func New(l net.Listener, c Config) *Server {
	s := &Server{config: c, connections: map[*connection]struct{}{}, changed: make(chan struct{}, 1)}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serveHTTP), MaxHeaderBytes: c.MaxHeaderBytes,
		ReadHeaderTimeout: c.ReadHeaderTimeout, ReadTimeout: c.ReadTimeout, IdleTimeout: c.IdleTimeout,
		ConnState: observeState, ConnContext: withConnection,
	}
	if tcp, ok := l.(*net.TCPListener); ok {
		s.callers = newStoppableListener(tcp)
		l = s.callers
	}
	if c.MaxConnections > 0 {
		s.limited = newLimitedListener(l, c.MaxConnections)
		l = s.limited
	}
	s.listener = &trackingListener{Listener: l, server: s, closed: make(chan struct{})}
	return s
}

// Serve serves until the server is closed, and returns nil then.
func (s *Server) Serve() error {
	s.setServing(true)
	defer s.setServing(false)
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.hasStopped() {
		return nil
	}
	return err
}

func (s *Server) setServing(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isServing = v
}

func (s *Server) hasStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isStopped || s.isClosed
}

// StopListening closes the listener once all connections that wait there are accepted, or
// when ctx ends. It returns an error if connections can arrive until the listener is
// closed, because new ones cannot be dropped before.
func (s *Server) StopListening(ctx context.Context) error {
	s.mu.Lock()
	s.isStopped = true
	s.mu.Unlock()
	s.makeRoom()
	if s.callers == nil {
		return s.listener.stop()
	}
	s.dropOnce.Do(func() { s.dropErr = s.callers.DropNew() })
	s.callers.Stop(ctx, s.makeRoom)
	if errors.Is(s.dropErr, net.ErrClosed) {
		return nil
	}
	return s.dropErr
}

// makeRoom ends idle connections if there was no place for further ones, and reports
// whether that was so.
func (s *Server) makeRoom() bool {
	if s.limited == nil || !s.limited.hasBeenFull() {
		return false
	}
	for _, c := range s.open() {
		c.endIfIdle()
	}
	return true
}

// Drain ends connections as they become idle, and returns once there are none and none is in
// the queue of a stopped listener, or the error of ctx when that ends. Connections on which a
// part of a request has arrived are served. The handler has to make its responses the last
// ones of their connections, unless EndsConnections is set.
func (s *Server) Drain(ctx context.Context) error {
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for {
		l := s.open()
		if len(l) == 0 && !s.isAccepting() {
			return nil
		}
		before := s.unusedBefore()
		for _, c := range l {
			c.endIfUnused(before)
		}
		select {
		case <-s.changed:
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// EndUnused makes Drain end connections that have had no request however new they are. It is
// for the last part of a stop, in which requests on them would meet Close.
func (s *Server) EndUnused() {
	s.mu.Lock()
	s.endsUnused = true
	s.mu.Unlock()
	s.notify()
}

// unusedBefore returns before which time a connection was accepted that is ended if it has
// had no request.
func (s *Server) unusedBefore() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endsUnused {
		return time.Now()
	}
	return time.Now().Add(-unusedTimeout)
}

// isAccepting reports whether a stopped listener may have connections in its queue that
// are being accepted.
func (s *Server) isAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callers == nil || !s.isStopped || !s.isServing {
		return false
	}
	select {
	case <-s.callers.stopped:
		return false
	default:
		return true
	}
}

// Close closes the listener and all connections. It returns how many of these had a
// request in the handler.
func (s *Server) Close() (cut int, err error) {
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	for _, c := range s.open() {
		r := c.cut()
		if r == nil {
			continue
		}
		cut++
		c.abort(r)
		if f := s.config.OnCut; f != nil {
			f(r)
		}
	}
	return cut, errors.Join(s.http.Close(), s.listener.Close()) // http.Server knows its listener once it serves.
}

// open returns the open connections.
func (s *Server) open() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		l = append(l, c)
	}
	return l
}

func (s *Server) add(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = struct{}{}
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	delete(s.connections, c)
	s.mu.Unlock()
	s.notify()
}

// notify wakes up Drain.
func (s *Server) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// observeState implements http.Server.ConnState.
func observeState(c net.Conn, s http.ConnState) {
	if k, ok := c.(*connection); ok {
		k.setState(s)
	}
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	hasReturned := false
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		c.setHandled(r)
		defer func() {
			if !hasReturned {
				c.abort(r)
			}
		}()
	}
	s.handle(w, r)
	hasReturned = true
}

// handle calls the handler.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if !s.config.EndsConnections {
		s.config.Handler.ServeHTTP(w, r)
		return
	}
	e := &endingWriter{ResponseWriter: w, server: s}
	s.config.Handler.ServeHTTP(e, r)
	e.end()
}

// trackingListener adds the connections that it accepts to its server.
type trackingListener struct {
	net.Listener
	server *Server
	// closed is closed when the server is closed.
	closed              chan struct{}
	closeOnce, stopOnce sync.Once
	stopErr             error
}

// Accept implements net.Listener. Once the listener has stopped, it blocks until Close.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		if l.server.callers == nil && l.server.hasStopped() {
			<-l.closed // The server takes an earlier error for a failure.
		}
		return nil, err
	}
	k := &connection{Conn: c, server: l.server, acceptedAt: time.Now()}
	l.server.add(k)
	return k, nil
}

// stop closes the listener beneath.
func (l *trackingListener) stop() error {
	l.stopOnce.Do(func() {
		if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
			l.stopErr = err
		}
	})
	return l.stopErr
}

// Close implements net.Listener.
func (l *trackingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.stop()
}
