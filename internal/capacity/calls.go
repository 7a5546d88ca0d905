package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
)

// measureFullNodes prints the resource use of complete nodes, when idle and under
// calls. The CPU time of a call includes that of the client and of the backend server,
// which run in the same process, so it is higher than the CPU time of the two nodes
// that carry the call.
func measureFullNodes(ctx context.Context, counts, rates []int, period time.Duration) (err error) {
	fmt.Println("| nodes | calls | calls/s sent | answered | core % per node | memory MB per node |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, count := range counts {
		if err := measureFullNodeCount(ctx, count, rates, period); err != nil {
			return err
		}
	}
	return nil
}

func measureFullNodeCount(ctx context.Context, count int, rates []int, period time.Duration) (err error) {
	before := memoryInUse()
	root, branches := settingsTree(1)
	opts := []loopback.Option{loopback.WithTree(root, branches...)}
	for i := range count {
		zone := fmt.Sprintf("north-%d", i%2)
		opts = append(opts, loopback.WithUpstream("north", zone, backend.New("service0", backend.WithServiceTime(5*time.Millisecond), backend.WithCapacity(50, 400))))
	}
	system, err := loopback.Start(ctx, opts...)
	if err != nil {
		return err
	}
	defer system.Stop(ctx)
	c := &cluster{nodes: make([]*node, count)}
	report := func(calls string, rate int, run func() (answered int)) {
		answered := 0
		used := c.measureUsage(func() { answered = run() })
		fmt.Printf("| %d | %s | %d | %d | %.2f | %.1f |\n", count, calls, rate, answered, 100*used.cpuShare, (memoryInUse()-before)/1e6/float64(count))
	}
	report("none", 0, func() int {
		sleep(ctx, period)
		return 0
	})
	for _, rate := range rates {
		report("lookups", rate, func() int { return send(ctx, system, count, rate, period, http.MethodGet, "/service0/stock") })
		report("bookings", rate, func() int { return send(ctx, system, count, rate, period, http.MethodPost, "/service0/book") })
	}
	return nil
}

// send sends calls at a fixed rate to the nodes in round-robin order, and returns the
// number of complete answers.
func send(ctx context.Context, system *loopback.System, count, rate int, period time.Duration, method, path string) (answered int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var running sync.WaitGroup
	// Each answer on a booking route contains an issued key for the next booking.
	keys := make(chan string, 1024)
	ticks := time.NewTicker(time.Second / time.Duration(rate))
	defer ticks.Stop()
	for i := range rate * int(period/time.Second) {
		<-ticks.C
		running.Go(func() {
			request, err := http.NewRequestWithContext(ctx, method, "http://"+system.Caller(i%count)+path, nil)
			if err != nil {
				return
			}
			select {
			case key := <-keys:
				request.Header.Set(call.HeaderKey, key)
			default:
			}
			response, err := client.Do(request)
			if err != nil {
				return
			}
			if key := response.Header.Get(call.HeaderNextKey); key != "" {
				select {
				case keys <- key:
				default:
				}
			}
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && response.StatusCode == http.StatusOK {
				answered++
			}
		})
	}
	running.Wait()
	return answered
}
