package comfreyfakeapplication_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"comfreyridge.example/comfreyridge/comfreyfakeapplication"
)

func ExampleApplication() {
	a := comfreyfakeapplication.New(comfreyfakeapplication.Config{})
	for range 2 {
		r := httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader(`{"slab":"blue stone"}`))
		r.Header.Set("X-Order-Id", "slab-1")
		a.ServeHTTP(httptest.NewRecorder(), r)
	}
	fmt.Println(a.Runs()["slab-1"].Began)
	// Output: 2
}
