//go:build review

package standins2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
)

// Bounds of the site tmfw-mesh.
const (
	heartbeatInterval = 1500 * time.Millisecond
	configApply       = 2500 * time.Millisecond
	drainTime         = 2500 * time.Millisecond
	stableWindow      = 3 * time.Second
	bounds            = "SeedLagS=3,ReuseAfterS=2,StableWindowMs=3000,AckMs=4000,CatchUpS=4,DrainMs=2500,GraceS=6,LossSlackMs=200," +
		"ConfigApplyMs=2500,RollbackSlackMs=250,MaxSkewMs=5000,RetryBudgetRatio=0.2,BudgetWindowS=10,BudgetSlack=49,RecoveryS=15"
)

// storeFault is how the store treats the calls of one machine.
type storeFault int32

const (
	storeServes storeFault = iota
	// storeBusy answers 503.
	storeBusy
	// storeSilent answers nothing.
	storeSilent
)

// cluster is a small deployment.
type cluster struct {
	dir      string
	log      *keyedlog.Log
	machines []*machine
	started  time.Time
	// bounds are the bounds of the settings, those of tmfw-mesh by default.
	bounds string
	record *os.File
	mu     sync.Mutex
}

// machine is a VM with a node and a backend server.
type machine struct {
	c                                 *cluster
	name, zone, region, service, ip   string
	outbound, inbound, ready, control string
	portFirst, serverAddress, store   string
	fault                             atomic.Int32
	operatorReads                     atomic.Int64
	nodeReadEnds                      atomic.Int64
	mu                                sync.Mutex
	command                           *exec.Cmd
	exited                            chan struct{}
	srv                               *server.Server
	instance                          string
	born                              int64
	sequence                          int64
	state                             string
	stopBeats                         chan struct{}
}

func newCluster(recordPath string) (c *cluster, err error) {
	c = &cluster{log: keyedlog.New(), started: time.Now(), bounds: bounds}
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	c.record, err = os.Create(recordPath)
	return c, err
}

// logf writes a line of the record.
func (c *cluster) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
}

// add prepares a machine. n is its number, from 1.
func (c *cluster) add(name, zone, region, service string) (m *machine, err error) {
	n := len(c.machines) + 1
	m = &machine{c: c, name: name, zone: zone, region: region, service: service, ip: fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, os.Getpid()/100%250, n)}
	free, err := loopback.FreeAddresses(m.ip, 7)
	if err != nil {
		return nil, err
	}
	m.outbound, m.inbound, m.ready, m.control, m.serverAddress, m.store = free[0], free[1], free[2], free[3], free[5], free[6]
	_, m.portFirst, _ = net.SplitHostPort(free[4])
	listener, err := net.Listen("tcp", m.store)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(m.serveStore)) }()
	c.machines = append(c.machines, m)
	return m, nil
}

// noEra drops a header of the project's stand-in that the users' pages don't have.
type noEra struct{ http.ResponseWriter }

func (w noEra) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w noEra) Write(b []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(b)
}

// serveStore is the store as this machine reaches it.
func (m *machine) serveStore(w http.ResponseWriter, r *http.Request) {
	if storeFault(m.fault.Load()) == storeBusy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if storeFault(m.fault.Load()) == storeSilent {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/lacewingslip/log-read" && r.URL.Query().Get("Topic") == operator.DesiredStateTopic {
		m.operatorReads.Add(1)
	}
	if r.URL.Path == "/lacewingslip/log-read" && r.URL.Query().Get("Topic") != operator.DesiredStateTopic {
		wait, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
		m.nodeReadEnds.Store(time.Now().UnixMilli() + wait)
	}
	m.c.log.ServeHTTP(noEra{w}, r)
}

func (m *machine) settings() string {
	zones := map[string]string{}
	for _, o := range m.c.machines {
		zones[o.zone] = o.region
	}
	lines := []string{
		"Node=" + m.name, "Role=node", "MachineClass=sidecar", "Serves=sidecar", "Ip=" + m.ip, "Zone=" + m.zone, "Region=" + m.region,
		"Listen.Inbound=" + m.inbound, "Listen.Outbound=" + m.outbound, "Listen.Ready=" + m.ready, "Listen.Control=" + m.control,
		"PortRange=" + m.portFirst + "," + m.portFirst, "Seeds=", "FirstStart=true", "CountsAsLoss=false",
		"Limits.CpuShare=0.64", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
		"Discovery=local", "Entry=local", "HeartbeatIntervalMs=1500", "Contracts=base,drain,config,cost,retry,recover,pressure,platform",
		"FaultTolerance.Machines=1", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0", "Bounds=" + m.c.bounds,
		"AppAddr=" + m.serverAddress, "Service=" + m.service, "Provider.Address=" + m.store, "Provider.form=log",
		"Provider.WritesPerS=400", "Provider.ReadsPerS=2000", "Provider.parts=12", "Provider.RecordBytes=262144", "Provider.CallBytes=2097152", "Provider.keep_s=300",
	}
	for z, r := range zones {
		lines = append(lines, "Zones."+z+"="+r)
	}
	return strings.Join(lines, "\n") + "\n"
}

// startNode starts the node's process with the command of the deploy file.
func (m *machine) startNode() (err error) {
	path := filepath.Join(m.c.dir, m.name+".conf")
	if err = os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.c.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/lacewingslipd", "platform")
	command.Env = append(os.Environ(), "LACEWINGSLIP_CONFIG="+path)
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited = command, exited
	m.mu.Unlock()
	go func() {
		_ = command.Wait()
		out.Close()
		close(exited)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.command.Process.Signal(s)
}

// startServer starts the backend server, and announces it at intervals.
func (m *machine) startServer(instance string) (err error) {
	if m.srv, err = server.Start(m.serverAddress, instance); err != nil {
		return err
	}
	m.instance, m.born, m.state = instance, time.Now().UnixMilli(), "ready"
	m.stopBeats = make(chan struct{})
	go func() {
		for {
			_ = m.announce()
			select {
			case <-time.After(heartbeatInterval):
			case <-m.stopBeats:
				return
			}
		}
	}()
	return nil
}

// announce sends one check-in and returns whether it was acknowledged.
func (m *machine) announce() (acked bool) {
	m.mu.Lock()
	m.sequence++
	body := m.checkIn(m.state, m.sequence)
	m.mu.Unlock()
	status := m.post("instances.heartbeat", body)
	return status >= 200 && status < 300
}

func (m *machine) checkIn(state string, sequence int64) string {
	return fmt.Sprintf(`{"Address":%q,"born":%d,"Info":{"Service":%q,"Version":"v1","Zone":%q,"Slots":54},"Status":{"State":%q,"Sequence":%d,"ColdRemainingMs":0}}`,
		m.serverAddress, m.born, m.service, m.zone, state, sequence)
}

// post sends a message to the control address and returns the status, or 0 without an answer
// within a second.
func (m *machine) post(call, body string) (status int) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+m.control+"/lacewingslip/rpc?call="+call+"&of="+m.instance, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ready + "/lacewingslip/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startBoth starts the node and the backend server.
func (m *machine) startBoth() (err error) {
	if err = m.startNode(); err != nil {
		return err
	}
	return m.startServer("i-" + m.name)
}

// readers returns the machines that read the operator's topic within 5 s.
func (c *cluster) readers() (readers []*machine) {
	before := make(map[*machine]int64)
	for _, m := range c.machines {
		before[m] = m.operatorReads.Load()
	}
	time.Sleep(5 * time.Second)
	for _, m := range c.machines {
		if m.operatorReads.Load() > before[m] {
			readers = append(readers, m)
			c.logf("%s (%s) reads the store", m.name, m.zone)
		}
	}
	return readers
}

func (c *cluster) start() (err error) {
	for _, m := range c.machines {
		if err = m.startBoth(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range c.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(c.machines) {
			return nil
		}
	}
	return fmt.Errorf("not all nodes are ready")
}

// publish writes a desired state to the store, whose answer is the ack.
func (c *cluster) publish(document []byte) (acked time.Time) {
	c.log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, document)
	return time.Now()
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, m := range c.machines {
		m.mu.Lock()
		command, exited := m.command, m.exited
		m.mu.Unlock()
		if command == nil {
			continue
		}
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-exited
	}
	c.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.dir)
	} else {
		fmt.Println(c.dir)
	}
}

// answer is what a client gets.
type answer struct {
	status   int
	signed   bool
	id, body string
	err      error
}

// send sends one request on a new connection and returns the answer; status 0 means that there
// was none.
func (m *machine) send(method, path, id string, wait time.Duration, body string) (a answer) {
	return m.sendWith(method, path, id, wait, "", body)
}

// sendWith is send with further header lines.
func (m *machine) sendWith(method, path, id string, wait time.Duration, lines, body string) (a answer) {
	conn, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait))
	length := lines
	if body != "" {
		length += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err = io.WriteString(conn, method+" "+path+" HTTP/1.1\r\n"+operator.HeadLines(id, wait)+length+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, signed: operator.Signed(resp.Header), id: operator.AnsweredRequestID(resp.Header), body: string(data), err: err}
}
