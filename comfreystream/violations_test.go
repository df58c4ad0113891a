package comfreystream_test

import "comfreyridge.example/comfreyridge/comfreyinvariant"

// violations returns the number of invariant violations during f.
func violations(f func()) int {
	n := 0
	restore := comfreyinvariant.Observe(func(comfreyinvariant.Name, string) { n++ })
	defer restore()
	f()
	return n
}
