package comfreyrelay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"

	"comfreyridge.example/comfreyridge/comfreyrelay"
)

func ExampleRelay() {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	r, err := comfreyrelay.New(comfreyrelay.Config{Target: s.Listener.Addr().String()})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer r.Close()

	res, err := http.Get(r.URL())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer res.Body.Close()
	fmt.Println(res.StatusCode, r.Accepted())
	// Output: 404 1
}
