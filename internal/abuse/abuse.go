// Package abuse starts a node process with low limits and a crowd of clients that do not
// keep to them.
//
// # Usage
//
//	d, err := abuse.Start(binaries, directory, abuse.Descriptors)
//	defer d.Close()
//	crowd := abuse.Open(ctx, 512, d.Address("caller"), attack)
//	used, err := d.Usage()
package abuse

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/internal/e2e"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

const (
	// MemoryBytes is the limit of memory in the settings of the process.
	MemoryBytes = 64 << 20
	// Descriptors is the limit of open descriptors of the process.
	Descriptors = 1024
	// HeaderBytes is the limit of a request head in the desired state.
	HeaderBytes = 16 << 10

	service          = "orders"
	route            = "orders"
	longAnswerPath   = "/orders/long"
	slots            = 8
	requestTimeout   = 2 * time.Second
	headerTimeout    = 5 * time.Second
	idleTimeout      = 15 * time.Second
	announceInterval = 200 * time.Millisecond
	retryInterval    = 50 * time.Millisecond
	// settledReads is how often the number of descriptors must be read unchanged before the
	// node is taken to have accepted all that it accepts.
	settledReads = 5
	maxReads     = 120
)

// Ports are the names of the ports of a node.
var Ports = []string{"caller", "peer", "announce", "ready", "operator"}

// Deployment is a node process, its backend server and the log service.
type Deployment struct {
	// Node is the process of the node.
	Node *e2e.Process

	settings  nodeconfig.Config
	logServer *httptest.Server
	server    *server.Server
	output    *os.File
	stop      chan struct{}
	requests  atomic.Int64
	// served counts the requests that the backend server has received.
	served atomic.Int64
}

// Start starts a node with low limits, and the limit of descriptors in its settings. Its files
// are in the directory.
func Start(binaries e2e.Binaries, directory string, descriptors int) (d *Deployment, err error) {
	return StartWithMemory(binaries, directory, descriptors, MemoryBytes)
}

// StartWithMemory is Start with another limit of memory in the settings of the process.
func StartWithMemory(binaries e2e.Binaries, directory string, descriptors int, memoryBytes int64) (d *Deployment, err error) {
	defer func() { err = eris.Wrap(err, "start a node with low limits") }()
	log := keyedlog.New()
	log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, operator.EncodeDesiredStateWithLimits(1,
		operator.Limits{IdleTimeout: idleTimeout, HeaderBytes: HeaderBytes, BodyBytes: 1 << 20, HeaderTimeout: headerTimeout},
		[]operator.Route{{Name: route, Service: service, Timeout: requestTimeout, Attempts: 2}}, service))
	d = &Deployment{logServer: httptest.NewServer(log), stop: make(chan struct{})}
	defer func() {
		if err != nil {
			d.Close()
		}
	}()
	const ip = "127.0.0.1"
	if d.server, err = server.Start(ip+":0", "i-1"); err != nil {
		return nil, err
	}
	d.server.SetBehaviour(func(r *http.Request) server.Behaviour {
		d.served.Add(1)
		if r.URL.Path == longAnswerPath {
			return server.AnswerLong
		}
		return server.Answer
	})
	d.settings = nodeconfig.Config{
		Node: "node-1", Region: "addis", Zone: "addis-a", Service: service, Backend: d.server.Address(),
		RegionOf: map[string]string{"addis-a": "addis"}, Log: d.logServer.Listener.Addr().String(),
		MemoryBytes: memoryBytes, Descriptors: descriptors,
		Bounds: nodeconfig.Bounds{
			Drain: time.Second, Grace: 2 * time.Second, ConfigApply: 2 * time.Second, RetryRatio: 0.1, RetryWindow: 10 * time.Second, RetrySlack: 10,
		},
	}
	if err = e2e.SetPlatformAddresses(&d.settings, ip); err != nil {
		return nil, err
	}
	if d.output, err = os.Create(filepath.Join(directory, "node.log")); err != nil {
		return nil, err
	}
	if d.Node, err = e2e.StartPlatformNode(binaries, directory, d.settings, d.output); err != nil {
		return nil, err
	}
	go d.announce()
	return d, nil
}

// Address returns the address of a port of the node.
func (d *Deployment) Address(port string) (address string) {
	return map[string]string{
		"caller": d.settings.Listen.Caller, "peer": d.settings.Listen.Peer, "announce": d.settings.Listen.Announce, "ready": d.settings.Listen.Ready,
		"operator": net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.FirstPort)),
	}[port]
}

// Close ends the process and the stand-ins.
func (d *Deployment) Close() {
	close(d.stop)
	if d.Node != nil {
		d.Node.Kill()
	}
	if d.server != nil {
		d.server.Close()
	}
	d.logServer.Close()
	if d.output != nil {
		d.output.Close()
	}
}

// announce announces the backend server until the deployment is closed.
func (d *Deployment) announce() {
	start := time.Now().UnixMilli()
	for sequence := int64(1); ; sequence++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		// An error means that the process does not listen at the moment.
		_, _ = operator.Announce(ctx, d.settings.Listen.Announce, operator.Announcement{
			Instance: "i-1", Service: service, Address: d.settings.Backend, Zone: d.settings.Zone, State: "ready", StartMs: start, Sequence: sequence, Slots: slots,
		})
		cancel()
		select {
		case <-d.stop:
			return
		case <-time.After(announceInterval):
		}
	}
}

// WaitAnswered sends ordinary requests until one is answered.
func (d *Deployment) WaitAnswered(ctx context.Context) (err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * requestTimeout}
	var last string
	for {
		request, err := operator.Request(d.settings.Listen.Caller, http.MethodGet, "/"+route+"/x", fmt.Sprintf("ordinary-%d", d.requests.Add(1)), requestTimeout)
		if err != nil {
			return err
		}
		answer, err := client.Do(request.WithContext(ctx))
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
			last = answer.Status
		} else {
			last = err.Error()
		}
		select {
		case <-d.Node.Exited():
			return eris.Errorf("the process ended: %v", d.Node.Wait(ctx))
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "no ordinary request was answered; the last result is %s", last)
		case <-time.After(retryInterval):
		}
	}
}

// WaitServed waits until the backend server has received a number of requests.
func (d *Deployment) WaitServed(ctx context.Context, requests int64) (err error) {
	for d.served.Load() < requests {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "the server received %d requests, expected %d", d.served.Load(), requests)
		case <-time.After(retryInterval):
		}
	}
	return nil
}

// Usage is what the process uses.
type Usage struct {
	// PeakBytes is the highest resident memory since the process started.
	PeakBytes int64
	// ResidentBytes is the resident memory, and AnonymousBytes the part of it that is not that
	// of files.
	ResidentBytes, AnonymousBytes int64
	// Descriptors is the number of open descriptors.
	Descriptors int
}

// Usage reads what the process uses from /proc.
func (d *Deployment) Usage() (used Usage, err error) {
	defer func() { err = eris.Wrap(err, "read the usage of the node") }()
	directory := fmt.Sprintf("/proc/%d", d.Node.ID())
	status, err := os.ReadFile(filepath.Join(directory, "status"))
	if err != nil {
		return Usage{}, err
	}
	for line := range strings.Lines(string(status)) {
		for name, bytes := range map[string]*int64{"VmHWM:": &used.PeakBytes, "VmRSS:": &used.ResidentBytes, "RssAnon:": &used.AnonymousBytes} {
			if text, found := strings.CutPrefix(line, name); found {
				if _, err = fmt.Sscanf(text, "%d kB", bytes); err != nil {
					return Usage{}, err
				}
				*bytes <<= 10
			}
		}
	}
	entries, err := os.ReadDir(filepath.Join(directory, "fd"))
	used.Descriptors = len(entries)
	return used, err
}

// Settle waits until the node has accepted what waits at its ports and forwards no more
// requests, and returns the highest usage that it read.
func (d *Deployment) Settle() (used Usage, err error) {
	unchanged, last, lastServed := 0, -1, int64(0)
	for reads := 0; unchanged < settledReads && reads < maxReads; reads++ {
		current, err := d.Usage()
		if err != nil {
			return Usage{}, err
		}
		unchanged++
		if served := d.served.Load(); current.Descriptors != last || served != lastServed {
			unchanged, last, lastServed = 0, current.Descriptors, served
		}
		current.Descriptors = max(used.Descriptors, current.Descriptors)
		used = current
		time.Sleep(retryInterval)
	}
	return used, nil
}
