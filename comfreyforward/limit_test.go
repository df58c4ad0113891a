package comfreyforward

import "testing"

func TestCallerConnectionsAreBoundedForEveryLimit(t *testing.T) {
	for descriptors, want := range map[int]int{0: 0, 1: 1, 100: 15, 200: 30, 300: 60, 4100: 2340, 8192: 4795} {
		if got := maxCallerConnections(descriptors); got != want {
			t.Errorf("%d descriptors: got %d connections, want %d", descriptors, got, want)
		}
	}
}
