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

// waitTimeout bounds every wait; the awaited conditions take fractions of a second.
const waitTimeout = 20 * time.Second

// node is a gateway that only gossips.
type node struct {
	gossip  *comfreygossip.Gossip
	address string

	mu          sync.Mutex
	cache       *comfreystorecache.Cache
	generations []comfreyoccupancy.Generation
	placements  map[string]comfreygossip.Placements
}

// startNode starts a node on a loopback address of its own, so that all nodes
// can use the same ports.
func startNode(t *testing.T, i int, seeds ...string) *node {
	t.Helper()
	ip := fmt.Sprintf("127.0.7.%d", i)
	n := &node{cache: comfreystorecache.New(), placements: map[string]comfreygossip.Placements{}}
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
		StoreRevision: func() uint64 { return locked(n, n.cache.Revision) },
		StoreChangesSince: func(r uint64) ([]comfreystorecache.Item, bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.cache.Since(r)
		},
		DirectStoreAge: func() (time.Duration, bool) { return 0, true },
		MergeStore: func(m comfreygossip.StoreUpdate) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if m.IsSnapshot {
				n.cache.Replace(m.Revision, m.Items)
			} else {
				n.cache.Apply(m.Revision, m.Items)
			}
		},
		Placements: func() comfreygossip.Placements {
			return locked(n, func() comfreygossip.Placements {
				return comfreygossip.Placements{Generations: slices.Clone(n.generations), Leaving: []string{"old"}}
			})
		},
		ApplyPlacements: func(g string, s comfreygossip.Placements) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.placements[g] = s
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
	for end := time.Now().Add(waitTimeout); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// TestPlacementsAndStoreChangesReachAllPeers checks that two gateways with a
// common seed exchange placements, in several datagrams, and store changes.
func TestPlacementsAndStoreChangesReachAllPeers(t *testing.T) {
	a := startNode(t, 1)
	b := startNode(t, 2, a.address)
	c := startNode(t, 3, a.address, "127.0.7.9:1")
	var generations []comfreyoccupancy.Generation
	for i := range 45 { // More than fit into one datagram.
		generations = append(generations, comfreyoccupancy.Generation{ID: fmt.Sprint(i), Replica: "r", PromptTokens: 100 + i, GeneratedTokens: i, RemainingTokens: 7, IsDecoding: true, IsCopying: i == 3})
	}
	locked(b, func() bool { b.generations = generations; return true })
	b.gossip.PlacementsChanged()
	await(t, "c receives the placements of b, whose address it has from a", func() bool {
		return locked(c, func() bool { return slices.Equal(c.placements[b.address].Generations, generations) })
	})
	if s := locked(c, func() comfreygossip.Placements { return c.placements[b.address] }); !slices.Equal(s.Leaving, []string{"old"}) {
		t.Errorf("leaving replicas of b: got %+v", s)
	}
	locked(a, func() bool {
		a.cache.Apply(9, []comfreystorecache.Item{{Key: "k", Revision: 9, Value: []byte("v")}})
		return true
	})
	for _, n := range []*node{b, c} {
		await(t, "the store change reaches the other gateways", func() bool { return locked(n, n.cache.Revision) == 9 })
	}
	await(t, "a knows both other gateways", func() bool { return len(a.gossip.Peers()) == 2 })
}
