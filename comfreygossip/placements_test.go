package comfreygossip

import (
	"fmt"
	"testing"
	"time"
)

func TestAssembliesOfVanishedSendersAreRemoved(t *testing.T) {
	partial := map[string]*assembly{}
	start := time.Unix(1000, 0)
	for i := range 10 * maxAssemblies {
		assemble(partial, start.Add(time.Duration(i)*time.Second), fmt.Sprint("gateway ", i), 1, 0)
	}
	if len(partial) > maxAssemblies {
		t.Errorf("%d incomplete states are kept, want at most %d", len(partial), maxAssemblies)
	}
	if _, isNew := assemble(partial, start, fmt.Sprint("gateway ", 10*maxAssemblies-1), 1, 0); isNew {
		t.Error("the state of the latest sender was removed")
	}
}
