package comfreygossip_test

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"comfreyridge.example/comfreyridge/comfreygossip"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyoccupancy"
	"comfreyridge.example/comfreyridge/comfreystorecache"
)

// patience bounds every wait; what is waited for takes fractions of a second.
const patience = 20 * time.Second

// node is a gateway as far as gossip is concerned.
type node struct {
	gossip  *comfreygossip.Gossip
	address string

	mu     sync.Mutex
	mirror *comfreystorecache.Cache
	runs   []comfreyoccupancy.Generation
	heard  map[string]comfreygossip.Placements
}

// startNode starts a node on a loopback address of its own, so that all nodes
// can use the same ports.
func startNode(t *testing.T, i int, seeds ...string) *node {
	t.Helper()
	ip := fmt.Sprintf("127.0.7.%d", i)
	n := &node{mirror: comfreystorecache.New(), heard: map[string]comfreygossip.Placements{}}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Skipf("loopback has no address %s: %v", ip, err)
	}
	n.address = l.Addr().String()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	group := comfreygroup.New(t.Context())
	n.gossip = comfreygossip.New(comfreygossip.Config{
		Address: n.address, DatagramPort: 17201, Seeds: seeds, Group: group, Logger: logger,
		StoreRevision: func() uint64 { return locked(n, n.mirror.Revision) },
		StoreChangesSince: func(r uint64) ([]comfreystorecache.Item, bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.mirror.Since(r)
		},
		DirectStoreAge: func() (time.Duration, bool) { return 0, true },
		MergeStore: func(m comfreygossip.StoreUpdate) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if m.IsSnapshot {
				n.mirror.Replace(m.Revision, m.Items)
			} else {
				n.mirror.Apply(m.Revision, m.Items)
			}
		},
		Placements: func() comfreygossip.Placements {
			return locked(n, func() comfreygossip.Placements {
				return comfreygossip.Placements{Generations: slices.Clone(n.runs), Leaving: []string{"old"}}
			})
		},
		ApplyPlacements: func(g string, s comfreygossip.Placements) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.heard[g] = s
		},
		ObserveStoreAge: func(uint64, time.Duration) {},
	})
	if err := n.gossip.Start(); err != nil {
		t.Skipf("no datagrams on %s: %v", ip, err)
	}
	server := httptest.NewUnstartedServer(n.gossip.Handler())
	server.Listener = l
	server.Start()
	t.Cleanup(func() {
		group.Stop()
		server.CloseClientConnections()
		server.Close()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return n
}

func locked[T any](n *node, f func() T) T {
	n.mu.Lock()
	defer n.mu.Unlock()
	return f()
}

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

func TestGatewaysFindEachOtherAndShareWhatTheyKnow(t *testing.T) {
	a := startNode(t, 1)
	b := startNode(t, 2, a.address)
	c := startNode(t, 3, a.address, "127.0.7.9:1")
	var runs []comfreyoccupancy.Generation
	for i := range 45 { // More than fit into one datagram.
		runs = append(runs, comfreyoccupancy.Generation{ID: fmt.Sprint(i), Replica: "r", PromptTokens: 100 + i, GeneratedTokens: i, RemainingTokens: 7, IsDecoding: true, IsCopying: i == 3})
	}
	locked(b, func() bool { b.runs = runs; return true })
	b.gossip.PlacementsChanged()
	await(t, "c hears the runs of b, which it knows through a", func() bool {
		return locked(c, func() bool { return slices.Equal(c.heard[b.address].Generations, runs) })
	})
	if s := locked(c, func() comfreygossip.Placements { return c.heard[b.address] }); !slices.Equal(s.Leaving, []string{"old"}) {
		t.Errorf("got %+v", s)
	}
	locked(a, func() bool {
		a.mirror.Apply(9, []comfreystorecache.Item{{Key: "k", Revision: 9, Value: []byte("v")}})
		return true
	})
	for _, n := range []*node{b, c} {
		await(t, "the change reaches the others", func() bool { return locked(n, n.mirror.Revision) == 9 })
	}
	if len(a.gossip.Peers()) != 2 {
		t.Errorf("a knows %d gateways", len(a.gossip.Peers()))
	}
}
