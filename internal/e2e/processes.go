// Package e2e runs a system as separate processes on loopback addresses, so that tests
// can kill, freeze (SIGSTOP) and stop individual processes.
//
// # Usage
//
//	binaries, err := e2e.Build(directory)
//	system, err := e2e.Start(ctx, binaries, directory, "../../examples/tesfaye",
//		e2e.UpstreamSpec{Region: "addis", Zone: "addis-a", Service: "orders"})
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
	// pollInterval is the pause between two checks of a starting process.
	pollInterval = 20 * time.Millisecond
)

// Binaries holds the paths of the built programs.
type Binaries struct {
	node, standin string
}

// Node returns the path of the node program.
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

// Process is a started program.
type Process struct {
	command *exec.Cmd
	output  *lockedBuffer
	exited  chan struct{}
	err     error
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// Wait waits for the process to end. The error is nil for exit code 0.
func (p *Process) Wait(ctx context.Context) (err error) {
	select {
	case <-p.exited:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Output returns the output of the process so far.
func (p *Process) Output() string { return p.output.String() }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// UpstreamSpec specifies the location and the service of an upstream.
type UpstreamSpec struct {
	Region, Zone, Service string
	// BackendArguments are additional arguments of the stand-in backend server.
	BackendArguments []string
}

// Upstream is a backend server and its node, each in its own process.
type Upstream struct {
	UpstreamSpec
	// Node and Backend are the current processes.
	Node, Backend *Process
	// CallerAddress, BackendAddress, PeerAddress and OperatorAddress are the addresses
	// that the node listens on.
	CallerAddress, BackendAddress, PeerAddress, OperatorAddress string
	// ServerAddress is the address of the backend server.
	ServerAddress string

	nodeFile string
}

// System is a running system of a log service and upstreams.
type System struct {
	binaries  Binaries
	directory string
	// LogAddress is the address of the log service.
	LogAddress string
	// Log is the process of the log service.
	Log             *Process
	rootKey         ed25519.PrivateKey
	publishedOffset int64
	upstreams       []*Upstream
	processes       []*Process
}

// Start starts the log service, publishes the settings tree in the directory
// treeDirectory and starts all upstreams. It returns once each node has the settings and
// knows every upstream.
func Start(ctx context.Context, binaries Binaries, directory, treeDirectory string, specs ...UpstreamSpec) (s *System, err error) {
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
	if s.Log, err = s.startProgram(binaries.standin, "log", "--listen", s.LogAddress); err != nil {
		return nil, err
	}
	if err = s.publish(ctx, treeDirectory); err != nil {
		return nil, err
	}
	for i, spec := range specs {
		if err = s.addUpstream(i, spec); err != nil {
			return nil, err
		}
	}
	return s, s.WaitReady(ctx)
}

// Upstream returns the upstream with the index.
func (s *System) Upstream(i int) *Upstream { return s.upstreams[i] }

// Close kills every process.
func (s *System) Close() {
	for _, p := range s.processes {
		// The end of a frozen process is noticed only after the process has been continued.
		_ = p.Signal(syscall.SIGCONT)
		p.Kill()
	}
}

// RestartNode starts the node of an upstream, initially or after its process has ended.
func (s *System) RestartNode(u *Upstream) (err error) {
	u.Node, err = s.startProgram(s.binaries.node, "--file", u.nodeFile)
	return err
}

// StartBackend starts the backend server of an upstream, which announces itself to the
// node.
func (s *System) StartBackend(u *Upstream) (err error) {
	arguments := []string{"backend", "--service", u.Service, "--listen", u.ServerAddress, "--node", u.BackendAddress}
	u.Backend, err = s.startProgram(s.binaries.standin, append(arguments, u.BackendArguments...)...)
	return err
}

// WaitReady waits until each node has the settings and knows all upstreams.
func (s *System) WaitReady(ctx context.Context) (err error) {
	for {
		ready := true
		for _, u := range s.upstreams {
			ready = ready && s.isReady(ctx, u)
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "nodes did not get the settings and all upstreams in time; output of the processes: %s", s.recentOutput())
		case <-time.After(pollInterval):
		}
	}
}

// recentOutput returns the end of the output of each upstream process.
func (s *System) recentOutput() (text string) {
	const lastBytes = 1500
	for _, u := range s.upstreams {
		for _, p := range []*Process{u.Node, u.Backend} {
			output := p.Output()
			text += fmt.Sprintf("\n%s: %s", p.command.Args, output[max(len(output)-lastBytes, 0):])
		}
	}
	return text
}

// Runs requests the number of runs of each booking from the backend server.
func (u *Upstream) Runs(ctx context.Context) (runs map[string]int, err error) {
	err = getJSON(ctx, "http://"+u.ServerAddress+"/stand-in/runs", &runs)
	return runs, err
}

func (s *System) publish(ctx context.Context, treeDirectory string) (err error) {
	root, branches, err := settings.ReadDirectory(treeDirectory)
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
		case <-time.After(pollInterval):
		}
	}
	s.rootKey, s.publishedOffset, err = loopback.Publish(ctx, log, root, branches...)
	return err
}

func (s *System) addUpstream(i int, spec UpstreamSpec) (err error) {
	u := &Upstream{UpstreamSpec: spec, nodeFile: filepath.Join(s.directory, fmt.Sprintf("n%d.yaml", i+1))}
	for _, address := range []*string{&u.CallerAddress, &u.BackendAddress, &u.PeerAddress, &u.OperatorAddress, &u.ServerAddress} {
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	if err = os.WriteFile(u.nodeFile, s.nodeFile(i, u), 0o600); err != nil {
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
`, i+1, u.Region, u.Zone, u.CallerAddress, u.BackendAddress, u.PeerAddress, u.OperatorAddress, s.seedAddress(u), s.LogAddress, public)
}

// seedAddress returns the peer address of the first upstream, which may be u itself.
func (s *System) seedAddress(u *Upstream) (address string) {
	if len(s.upstreams) == 0 {
		return u.PeerAddress
	}
	return s.upstreams[0].PeerAddress
}

func (s *System) isReady(ctx context.Context, u *Upstream) (ready bool) {
	var status struct {
		SettingsOffset int64 `json:"settingsOffset"`
		Upstreams      int   `json:"upstreams"`
	}
	if getJSON(ctx, "http://"+u.OperatorAddress+"/lacewingslip/v1/status", &status) != nil {
		return false
	}
	return status.Upstreams == len(s.upstreams) && status.SettingsOffset >= s.publishedOffset
}

func (s *System) startProgram(program string, arguments ...string) (p *Process, err error) {
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

// StartProcess starts a program. Its output goes to the writers of the command, and is not
// available from Output.
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
	// Ports are chosen below the ephemeral range, from which the kernel assigns the
	// ports of outgoing connections. Such a connection could take a port of that range
	// between the choice of the port and the start of the process that listens on it.
	lowestPort, highestPort = 15_000, 32_000
	portAttempts            = 100
)

var assignedPorts = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// freeAddress returns a loopback address with a random port on which no process listens
// at the moment. It never returns the same port twice: otherwise, two of the 15 ports of
// three upstreams would be equal in 1 of 160 systems.
func freeAddress() (address string, err error) {
	assignedPorts.Lock()
	defer assignedPorts.Unlock()
	for range portAttempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if assignedPorts.ports[port] {
			continue
		}
		address = fmt.Sprintf("127.0.0.1:%d", port)
		listener, errListen := net.Listen("tcp", address)
		if errListen != nil {
			err = errListen
			continue
		}
		listener.Close()
		assignedPorts.ports[port] = true
		return address, nil
	}
	return "", eris.Wrap(err, "no free port found")
}

// lockedBuffer is a buffer that can be read while the process still writes to it.
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
