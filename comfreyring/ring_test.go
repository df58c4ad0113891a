package comfreyring_test

import (
	"fmt"

	"comfreyridge.example/comfreyridge/comfreyring"
)

func ExampleRing() {
	r := comfreyring.New[string](2)
	r.Put("a")
	r.Put("b")
	r.Put("c")
	fmt.Println(r.Snapshot(), r.Dropped())
	item, ok := r.Take()
	fmt.Println(item, ok)
	// Output:
	// [b c] 1
	// b true
}
