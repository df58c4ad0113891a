package comfreyfakeengine_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"comfreyridge.example/comfreyridge/comfreyfakeengine"
)

func ExampleEngine() {
	e := comfreyfakeengine.New(comfreyfakeengine.Config{})
	defer e.Close()
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"prompt":"a","fake_length":3}`))
	r.Header.Set("X-Request-Id", "request-1")
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)

	id := w.Header().Get("X-Generation-Id")
	fmt.Println(strings.Contains(w.Body.String(), comfreyfakeengine.AnswerText(id, 3)))
	fmt.Println(e.Runs()["request-1"].Finished)
	// Output:
	// true
	// 1
}
