package comfreystream_test

import "comfreyridge.example/comfreyridge/comfreyinvariant"

// violations returns how many invariants f violates.
func violations(f func()) int {
	n := 0
	restore := comfreyinvariant.Observe(func(comfreyinvariant.Name, string) { n++ })
	defer restore()
	f()
	return n
}
