// Package e2e runs the system as separate processes on loopback addresses, so
// that tests can kill, freeze and stop single ones.
//
// # Usage
//
//	binaries, err := e2e.Build(directory)
//	system, err := e2e.Start(ctx, binaries, directory, "../../examples/tesfaye",
//		e2e.Place{Region: "addis", Zone: "addis-a", Service: "orders"})
//	defer system.Close()
//	system.Upstream(0).Node.Signal(syscall.SIGSTOP)
package e2e

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/settings"
)

const (
	modulePath = "github.com/lacewingslip/lacewingslip"
	// settleInterval is the pause between two looks at a starting process.
	settleInterval = 20 * time.Millisecond
)

// Binaries are the paths of the built programs.
type Binaries struct {
	node, standin string
}

// Node returns the path of the node's program.
func (b Binaries) Node() string { return b.node }

// Build compiles the programs into the directory.
func Build(directory string) (b Binaries, err error) {
	defer func() { err = eris.Wrap(err, "build programs") }()
	b = Binaries{node: filepath.Join(directory, "lacewingslipd"), standin: filepath.Join(directory, "lacewingslip-standin")}
	for path, name := range map[string]string{b.node: "lacewingslipd", b.standin: "lacewingslip-standin"} {
		output, err := exec.Command("go", "build", "-o", path, modulePath+"/cmd/"+name).CombinedOutput()
		if err != nil {
			return Binaries{}, eris.Wrapf(err, "%s: %s", name, output)
		}
	}
	return b, nil
}

// Process is a running program.
type Process struct {
	command *exec.Cmd
	output  *lockedBuffer
	exited  chan struct{}
	err     error
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Wait waits for the process to end. The error is nil for exit code 0.
func (p *Process) Wait(ctx context.Context) (err error) {
	select {
	case <-p.exited:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Output returns what the process has printed.
func (p *Process) Output() string { return p.output.String() }

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Place says where an upstream runs and what it serves.
type Place struct {
	Region, Zone, Service string
	// Backend holds further arguments of the stand-in backend server.
	Backend []string
}

// Upstream is a backend server and its node, each a process.
type Upstream struct {
	Place
	// Node and Backend are the current processes.
	Node, Backend *Process
	// Caller, BackendSide, Peer and Operator are the node's addresses.
	Caller, BackendSide, Peer, Operator string
	// Address is that of the backend server.
	Address string

	file string
}

// System is a running set of processes.
type System struct {
	binaries  Binaries
	directory string
	// LogAddress is where the log service listens.
	LogAddress string
	// Log is the process of the log service.
	Log       *Process
	rootKey   ed25519.PrivateKey
	published int64
	upstreams []*Upstream
	processes []*Process
}

// Start starts the log service, publishes the settings tree and starts all
// upstreams. It returns once each node knows the settings and every upstream.
func Start(ctx context.Context, binaries Binaries, directory, tree string, places ...Place) (s *System, err error) {
	s = &System{binaries: binaries, directory: directory}
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "start processes")
			s.Close()
		}
	}()
	if s.LogAddress, err = freeAddress(); err != nil {
		return nil, err
	}
	if s.Log, err = s.run(binaries.standin, "log", "--listen", s.LogAddress); err != nil {
		return nil, err
	}
	if err = s.publish(ctx, tree); err != nil {
		return nil, err
	}
	for i, place := range places {
		if err = s.addUpstream(i, place); err != nil {
			return nil, err
		}
	}
	return s, s.Settle(ctx)
}

// Upstream returns the upstream with the index.
func (s *System) Upstream(i int) *Upstream { return s.upstreams[i] }

// Close kills every process.
func (s *System) Close() {
	for _, p := range s.processes {
		// A frozen process can be killed, but its end is not noticed before it goes on.
		_ = p.Signal(syscall.SIGCONT)
		p.Kill()
	}
}

// RestartNode starts the node of an upstream again after its end.
func (s *System) RestartNode(u *Upstream) (err error) {
	u.Node, err = s.run(s.binaries.node, "--file", u.file)
	return err
}

// StartBackend starts the backend server of an upstream, which announces
// itself.
func (s *System) StartBackend(u *Upstream) (err error) {
	arguments := []string{"backend", "--service", u.Service, "--listen", u.Address, "--node", u.BackendSide}
	u.Backend, err = s.run(s.binaries.standin, append(arguments, u.Place.Backend...)...)
	return err
}

// Settle waits until each node has the settings and knows all upstreams as
// ready.
func (s *System) Settle(ctx context.Context) (err error) {
	for {
		settled := true
		for _, u := range s.upstreams {
			settled = settled && s.knowsAll(ctx, u)
		}
		if settled {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "nodes did not find each other: %s", s.report())
		case <-time.After(settleInterval):
		}
	}
}

// report collects what the processes of the upstreams printed last.
func (s *System) report() (text string) {
	const lastBytes = 1500
	for _, u := range s.upstreams {
		for _, p := range []*Process{u.Node, u.Backend} {
			output := p.Output()
			text += fmt.Sprintf("\n%s: %s", p.command.Args, output[max(len(output)-lastBytes, 0):])
		}
	}
	return text
}

// Runs asks the backend server of an upstream how often each booking ran.
func (u *Upstream) Runs(ctx context.Context) (runs map[string]int, err error) {
	err = getJSON(ctx, "http://"+u.Address+"/stand-in/runs", &runs)
	return runs, err
}

func (s *System) publish(ctx context.Context, tree string) (err error) {
	root, branches, err := settings.ReadDirectory(tree)
	if err != nil {
		return err
	}
	log := appendlog.New(s.LogAddress)
	for {
		if _, err = log.Read(ctx, settings.Stream, 0, 1, 0); err == nil {
			break
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(settleInterval):
		}
	}
	s.rootKey, s.published, err = loopback.Publish(ctx, log, root, branches...)
	return err
}

func (s *System) addUpstream(i int, place Place) (err error) {
	u := &Upstream{Place: place, file: filepath.Join(s.directory, fmt.Sprintf("n%d.yaml", i+1))}
	for _, address := range []*string{&u.Caller, &u.BackendSide, &u.Peer, &u.Operator, &u.Address} {
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	if err = os.WriteFile(u.file, s.nodeFile(i, u), 0o600); err != nil {
		return err
	}
	s.upstreams = append(s.upstreams, u)
	if err = s.RestartNode(u); err != nil {
		return err
	}
	return s.StartBackend(u)
}

func (s *System) nodeFile(i int, u *Upstream) (text []byte) {
	public := base64.StdEncoding.EncodeToString(s.rootKey.Public().(ed25519.PublicKey))
	return fmt.Appendf(nil, `node: n%d
region: %s
availabilityZone: %s
listen: {caller: %q, backend: %q, peer: %q, operator: %q}
seeds: [%q]
log: %q
rootPublicKey: %s
`, i+1, u.Region, u.Zone, u.Caller, u.BackendSide, u.Peer, u.Operator, s.firstPeer(u), s.LogAddress, public)
}

func (s *System) firstPeer(u *Upstream) (address string) {
	if len(s.upstreams) == 0 {
		return u.Peer
	}
	return s.upstreams[0].Peer
}

func (s *System) knowsAll(ctx context.Context, u *Upstream) (ok bool) {
	var status struct {
		SettingsOffset int64 `json:"settingsOffset"`
		Upstreams      int   `json:"upstreams"`
	}
	if getJSON(ctx, "http://"+u.Operator+"/lacewingslip/v1/status", &status) != nil {
		return false
	}
	return status.Upstreams == len(s.upstreams) && status.SettingsOffset >= s.published
}

func (s *System) run(program string, arguments ...string) (p *Process, err error) {
	output := &lockedBuffer{}
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = output, output
	if p, err = StartProcess(command); err != nil {
		return nil, err
	}
	p.output = output
	s.processes = append(s.processes, p)
	return p, nil
}

// StartProcess starts a program. What it prints goes where the command says.
func StartProcess(command *exec.Cmd) (p *Process, err error) {
	p = &Process{command: command, output: &lockedBuffer{}, exited: make(chan struct{})}
	if err = command.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

func getJSON(ctx context.Context, url string, value any) (err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return json.NewDecoder(answer.Body).Decode(value)
}

const (
	// Ports below the range from which the kernel takes those of outgoing
	// connections. One of that range may be taken between the choice and the start
	// of the process that listens on it.
	lowestPort, highestPort = 15_000, 32_000
	portAttempts            = 100
)

var takenPorts = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// freeAddress picks a port that nothing listens on at the moment. It returns no
// port twice: among the 15 ports of three upstreams, two would be equal in 1 of
// 160 systems.
func freeAddress() (address string, err error) {
	takenPorts.Lock()
	defer takenPorts.Unlock()
	for range portAttempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if takenPorts.ports[port] {
			continue
		}
		address = fmt.Sprintf("127.0.0.1:%d", port)
		listener, errListen := net.Listen("tcp", address)
		if errListen != nil {
			err = errListen
			continue
		}
		listener.Close()
		takenPorts.ports[port] = true
		return address, nil
	}
	return "", eris.Wrap(err, "no free port found")
}

// lockedBuffer collects output that is read while the process still writes.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
