package review2

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() {
	scenarios["lost-answer-in-move"] = lostAnswerInMove
}

// shortCount is the number of generations before the one that moves, of which each of the
// six replicas runs some 40.
const shortCount = 240

// lostAnswerInMove plays TWICE: a replica that leaves loses the answer of a generation of
// which the gateway has a copy, and works on.
func lostAnswerInMove(e *env) (bool, error) {
	byAddress := map[string]*engine{}
	var engines []*engine
	// New replicas open gradually, within some seconds.
	s, g, err := e.startSystem(streamConfiguration(), 6*time.Second, func(s *store) error {
		for i := range 6 {
			n, err := newEngine(e, fmt.Sprintf("i-%d", i+1), []string{"bxl-a", "lvn-b", "mch-c"}[i/2], byAddress)
			if err != nil {
				return err
			}
			s.put("servers/"+n.id, n.entry(24))
			engines = append(engines, n)
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	for range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range shortCount / 12 {
				e.logf("caller", "%v", generate(g, 300, 3))
			}
		}()
	}
	wg.Wait()
	wg.Add(1)
	go func() {
		defer wg.Done()
		e.logf("caller", "the long one: %v", generate(g, 3079, 233))
	}()
	time.Sleep(1500 * time.Millisecond)
	from := engineOfLongRun(engines)
	if from == nil {
		return false, errors.New("the long generation does not run")
	}
	e.logf("case", "%s has run %d requests and is to leave", from.id, len(from.allRuns()))
	leave(e, s, from, &wg)
	wg.Wait()
	return judgeTwice(e, engines, from)
}

// leave makes a replica leave. Three other machines move their generations away at the same
// time, so that its link has a queue.
func leave(e *env, s *store, from *engine, wg *sync.WaitGroup) {
	for range 3 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 5 {
				from.transfer(3079, "another")
			}
		}()
	}
	draining := from.entry(24)
	draining["state"] = "draining"
	from.stateMu.Lock()
	from.onMove = func(x *engineRun, moves int, isLast bool) {
		if e.hasTrouble && moves == 2 && !isLast {
			time.AfterFunc(200*time.Millisecond, func() { close(x.lose) })
		}
	}
	from.state = "draining"
	from.stateMu.Unlock()
	s.put("servers/"+from.id, draining)
}

// judgeTwice reports whether a generation went on at another replica over 400 ms before the
// end of its run at the one before.
func judgeTwice(e *env, engines []*engine, from *engine) (bool, error) {
	broken, moved := false, 0
	for _, to := range engines {
		for _, k := range to.allRuns() {
			x := from.runOf(k.id)
			if to == from || x == nil || !k.isResumed {
				continue
			}
			moved++
			overlap := x.ended.Sub(k.began).Round(time.Millisecond)
			e.logf("case", "TWICE: %s went on at %s at %.3f; %s worked on it until %.3f, %v longer", k.id, to.id, e.since(k.began), from.id, e.since(x.ended), overlap)
			fmt.Printf("%s went on at %s while %s worked on it for %v more\n", k.id, to.id, from.id, overlap)
			broken = broken || overlap > 400*time.Millisecond
		}
	}
	if moved == 0 {
		return false, errors.New("the generation was not moved")
	}
	return broken, nil
}

// generate asks for a generation with a prompt of some tokens.
func generate(g *gateway, promptTokens, events int) answer {
	r := streamRequest(events)
	r.header.Set("X-Token-Counts", fmt.Sprintf("%d,2204", promptTokens))
	return once(g.front, r)
}

// engineOfLongRun returns the replica that works on a long generation; nil if there is
// none.
func engineOfLongRun(engines []*engine) *engine {
	for _, n := range engines {
		n.stateMu.Lock()
		for _, x := range n.active {
			if x.promptTokens > 3000 {
				n.stateMu.Unlock()
				return n
			}
		}
		n.stateMu.Unlock()
	}
	return nil
}
