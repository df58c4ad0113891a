package comfreyfakeserver

import (
	"net/http"
	"time"
)

// Switch returns a handler that calls f and answers 204.
func Switch(f func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		f()
		w.WriteHeader(http.StatusNoContent)
	}
}

// Timed returns a handler that calls f with the duration of a query value and
// answers 204. A missing value is zero; a malformed or negative one is
// answered 400.
func Timed(key string, f func(d time.Duration)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := r.URL.Query().Get(key)
		if v == "" {
			v = "0s"
		}
		d, err := time.ParseDuration(v)
		if err != nil || d < 0 {
			http.Error(w, key+" must be a duration", http.StatusBadRequest)
			return
		}
		f(d)
		w.WriteHeader(http.StatusNoContent)
	}
}
