package comfreyserver

import "net/http"

// endingWriter makes a response the last one of its connection if it begins during a stop,
// so that the caller sends its next request elsewhere.
type endingWriter struct {
	http.ResponseWriter
	server    *Server
	hasHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *endingWriter) WriteHeader(status int) {
	if !w.hasHeader && w.server.hasStopped() {
		w.Header().Set("Connection", "close")
	}
	w.hasHeader = w.hasHeader || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *endingWriter) Write(b []byte) (int, error) {
	if !w.hasHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w *endingWriter) Flush() {
	_ = w.FlushError()
}

// FlushError is what http.ResponseController calls.
func (w *endingWriter) FlushError() error {
	if !w.hasHeader {
		w.WriteHeader(http.StatusOK)
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is what http.ResponseController uses.
func (w *endingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// end is called when the handler has returned.
func (w *endingWriter) end() {
	if !w.hasHeader && w.server.hasStopped() {
		w.Header().Set("Connection", "close")
	}
}
