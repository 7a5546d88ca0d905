//go:build review

// Package standins plays the cases of the review: it starts nodes as processes with the
// command of the deploy file, and stands in for the platform's store, the backend
// servers and the clients around them.
package standins

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lacewingslip/lacewingslip/internal/standin/keyedlog"
)

const (
	// Bounds of the site, as DEPLOY.md shows them.
	drainBound       = 2500 * time.Millisecond
	configApply      = 2500 * time.Millisecond
	stableWindow     = 3 * time.Second
	bounds           = "SeedLagS=3,ReuseAfterS=2,StableWindowMs=3000,AckMs=4000,CatchUpS=4,DrainMs=2500,GraceS=6,LossSlackMs=200,ConfigApplyMs=2500,RollbackSlackMs=250,MaxSkewMs=5000,RetryBudgetRatio=0.2,BudgetWindowS=10,BudgetSlack=49,RecoveryS=15"
	heartbeatPeriod  = 1500 * time.Millisecond
	storeAnswerDelay = 4 * time.Millisecond
	restartDelay     = 300 * time.Millisecond
	slotCount        = 54
)

// record writes the lines of record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.file.WriteString(line)
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec       *record
	directory string
	log       *keyedlog.Log
	machines  []*machine

	mu      sync.Mutex
	version int
	nextID  int
}

// machine is a VM with a node and a backend server.
type machine struct {
	d                                             *deployment
	name, ip, zone, service                       string
	outbound, inbound, ready, control, app, store string
	conf                                          string
	firstPort                                     int
	logFile                                       *os.File

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
	stopped   bool
	server    *upstream
	// cutOff is closed and set to nil when the machine reaches the store again.
	cutOff   chan struct{}
	cutSince time.Time
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal("find a free port: %v", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// fatal ends the program with the exit code for a case that could not run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if current != nil {
		current.rec.printf("could not run: "+format, args...)
		current.close()
	}
	os.Exit(2)
}

var current *deployment

func newDeployment(folder string) *deployment {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fatal("%v", err)
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal("%v", err)
	}
	d := &deployment{rec: &record{file: file, started: time.Now()}, directory: directory, log: keyedlog.New()}
	current = d
	return d
}

// add adds a machine. It does not start its processes.
func (d *deployment) add(zone, service string) *machine {
	n := len(d.machines) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 30+os.Getpid()%200, 1+n/200, 1+n%200)
	m := &machine{d: d, name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: ip, zone: zone, service: service}
	ports := map[int]bool{}
	for len(ports) < 6 {
		ports[freePort(ip)] = true
	}
	var p []int
	for port := range ports {
		p = append(p, port)
	}
	at := func(n int) string { return net.JoinHostPort(ip, strconv.Itoa(p[n])) }
	m.outbound, m.inbound, m.ready, m.control, m.app, m.firstPort = at(0), at(1), at(2), at(3), at(4), p[5]
	m.conf = filepath.Join(d.directory, m.name+".conf")
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal("%v", err)
	}
	m.store = l.Addr().String()
	go http.Serve(l, http.HandlerFunc(m.serveStore))
	d.machines = append(d.machines, m)
	return m
}

// serveStore passes calls of the machine's node to the store.
func (m *machine) serveStore(w http.ResponseWriter, r *http.Request) {
	if !m.passes(r) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeAnswerDelay)
	answer := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.d.log.ServeHTTP(answer, r)
	}()
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-time.After(20 * time.Millisecond):
			if !m.passes(r) {
				panic(http.ErrAbortHandler)
			}
		}
	}
	// An answer that falls into a cut is lost.
	if !m.passes(r) {
		panic(http.ErrAbortHandler)
	}
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	w.Write(answer.Body.Bytes())
}

const (
	// A node notices by its keep-alive probes that a connection is partitioned, and gives up
	// a new one after its dial timeout. The stand-in ends them after these times.
	keepAliveTime = 3 * time.Second
	dialTime      = 1500 * time.Millisecond
)

// passes returns true at once while the machine reaches the store. Otherwise it returns false
// after a time: what was on its way is lost.
func (m *machine) passes(r *http.Request) bool {
	m.mu.Lock()
	cutOff, since := m.cutOff, m.cutSince
	m.mu.Unlock()
	if cutOff == nil {
		return true
	}
	select {
	case <-cutOff:
	case <-time.After(max(time.Until(since.Add(keepAliveTime)), dialTime)):
	case <-r.Context().Done():
	}
	return false
}

// cut partitions the machine from the store: its calls get no answer until heal is called.
func (m *machine) cut() (heal func()) {
	m.d.rec.printf("%s: cut off from the store", m.name)
	cutOff := make(chan struct{})
	m.mu.Lock()
	m.cutOff, m.cutSince = cutOff, time.Now()
	m.mu.Unlock()
	return func() {
		m.mu.Lock()
		m.cutOff = nil
		m.mu.Unlock()
		close(cutOff)
		m.d.rec.printf("%s: reaches the store again", m.name)
	}
}

func (d *deployment) writeSettings() {
	zones := map[string]bool{}
	for _, m := range d.machines {
		zones[m.zone] = true
	}
	for _, m := range d.machines {
		region, _, _ := strings.Cut(m.zone, "-")
		lines := []string{
			"Node=" + m.name, "Role=node", "MachineClass=sidecar", "Serves=sidecar", "Ip=" + m.ip, "Zone=" + m.zone, "Region=" + region,
			"Listen.Inbound=" + m.inbound, "Listen.Outbound=" + m.outbound, "Listen.Ready=" + m.ready, "Listen.Control=" + m.control,
			fmt.Sprintf("PortRange=%d,%d", m.firstPort, m.firstPort), "Seeds=", "FirstStart=true", "CountsAsLoss=false",
			"Limits.CpuShare=0.64", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
			"Discovery=local", "Entry=local", "HeartbeatIntervalMs=1500", "Contracts=base,drain,config,cost,retry,recover,pressure,platform",
			"FaultTolerance.Machines=1", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0", "Bounds=" + bounds,
			"AppAddr=" + m.app, "Service=" + m.service, "Provider.Address=" + m.store, "Provider.form=log", "Provider.WritesPerS=400",
			"Provider.ReadsPerS=2000", "Provider.parts=12", "Provider.AppendMs=2.0", "Provider.PartitionMbS=20.0", "Provider.ReadMbS=80.0",
			"Provider.RecordBytes=262144", "Provider.CallBytes=2097152", "Provider.keep_s=300", "Provider.PartMb=200", "Provider.TtlMinMs=1000",
		}
		for zone := range zones {
			zoneRegion, _, _ := strings.Cut(zone, "-")
			lines = append(lines, "Zones."+zone+"="+zoneRegion)
		}
		if err := os.WriteFile(m.conf, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			fatal("%v", err)
		}
	}
}

// route is a route of the desired state.
type route struct {
	name, prefix, kind, service string
	timeoutMs, attempts         int
}

// publish writes the next desired state to the store and returns when it was acknowledged.
func (d *deployment) publish(routes ...route) (acked time.Time) {
	d.mu.Lock()
	d.version += 2
	version := d.version
	d.mu.Unlock()
	resources := []any{map[string]any{"ResourceType": "Limits", "Metadata": map[string]any{}, "Spec": map[string]any{
		"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
	}}}
	var names []string
	for _, r := range routes {
		resources = append(resources, map[string]any{"ResourceType": "Routes", "Metadata": map[string]any{"Name": r.name}, "Spec": map[string]any{
			"Host": "desk.example", "PathPrefix": r.prefix, "Kind": r.kind, "TimeoutMs": r.timeoutMs, "TargetLatencyMs": 1500, "Priority": 0,
			"Service": r.service, "MaxAttempts": r.attempts,
		}})
		names = append(names, r.name+" to "+r.service)
	}
	services := map[string]bool{}
	for _, m := range d.machines {
		if !services[m.service] {
			services[m.service] = true
			resources = append(resources, map[string]any{"ResourceType": "Services", "Metadata": map[string]any{"Name": m.service}, "Spec": map[string]any{
				"HealthPath": "/health", "MaxConnections": 424, "Protocol": "h1", "Tls": false,
			}})
		}
	}
	text, _ := json.Marshal(map[string]any{"Version": version, "BaseVersion": max(version-2, 0), "Resources": resources})
	d.log.Put("keyed.op", "config", text)
	acked = time.Now()
	d.rec.printf("operator: version %d acknowledged (%s)", version, strings.Join(names, ", "))
	return acked
}

// start starts the node's process, with the command of the deploy file, and restarts it
// whenever it ends.
func (m *machine) start() {
	if m.logFile == nil {
		f, err := os.Create(filepath.Join(m.d.directory, m.name+".log"))
		if err != nil {
			fatal("%v", err)
		}
		m.logFile = f
	}
	command := exec.Command("target/lacewingslipd", "platform")
	command.Env = append(os.Environ(), "LACEWINGSLIP_CONFIG="+m.conf)
	command.Stdout, command.Stderr = m.logFile, m.logFile
	if err := command.Start(); err != nil {
		fatal("start the node: %v", err)
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.startedAt = command, exited, time.Now()
	m.mu.Unlock()
	m.d.rec.printf("%s: node started, process %d", m.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		close(exited)
		m.mu.Lock()
		stopped := m.stopped
		m.mu.Unlock()
		if !stopped {
			m.d.rec.printf("%s: node ended (%v)", m.name, err)
			time.Sleep(restartDelay)
			m.mu.Lock()
			stopped = m.stopped
			m.mu.Unlock()
			if !stopped {
				m.start()
			}
		}
	}()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.d.rec.printf("%s: signal %v to the node", m.name, s)
	m.process.Process.Signal(s)
}

func (m *machine) processStart() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startedAt
}

// close ends all processes and servers that the deployment started.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.mu.Lock()
		m.stopped = true
		p, exited := m.process, m.exited
		m.mu.Unlock()
		if p != nil {
			p.Process.Signal(syscall.SIGCONT)
			p.Process.Kill()
			<-exited
		}
		if m.server != nil {
			m.server.exit("end of the test")
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(d.directory)
	} else {
		fmt.Println(d.directory)
	}
}

// upstream is a backend server: it runs requests that expect it, answers with a signature,
// and announces itself to the node on its machine.
type upstream struct {
	m        *machine
	id       string
	born     int64
	work     time.Duration
	listener net.Listener
	server   *http.Server
	// workOf returns how long a request with the path takes. The default is work.
	workOf func(path string) time.Duration

	mu       sync.Mutex
	sequence int64
	state    string // ready, draining or left
	ended    bool
	running  map[string]bool
	runs     []run
	stop     chan struct{}
}

// run is a request at which an upstream began to work.
type run struct {
	id, caller, path string
	at               time.Time
	lost             bool
}

// startServer starts an upstream on the machine and announces it.
func (m *machine) startServer(id string, born time.Time, work time.Duration) *upstream {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", m.app); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fatal("start the server: %v", err)
	}
	u := &upstream{m: m, id: id, born: born.UnixMilli(), work: work, listener: l, state: "ready", running: map[string]bool{}, stop: make(chan struct{})}
	u.workOf = func(string) time.Duration { return u.work }
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go u.server.Serve(l)
	m.server = u
	m.d.rec.printf("%s: server %s of %s started, born %d", m.name, id, m.service, u.born)
	go u.heartbeats()
	return u
}

func (u *upstream) heartbeats() {
	for {
		u.mu.Lock()
		state := u.state
		u.mu.Unlock()
		if state == "left" {
			return
		}
		u.announce(state)
		select {
		case <-u.stop:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

// message returns the next check-in or, for the state left, the deregistration.
func (u *upstream) message(state string) (url string, body []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == "left" {
		body, _ = json.Marshal(map[string]any{"born": u.born})
		return "http://" + u.m.control + "/lacewingslip/rpc?call=instances.deregister&of=" + u.id, body
	}
	u.sequence++
	body, _ = json.Marshal(map[string]any{
		"Address": u.m.app, "born": u.born,
		"Info":   map[string]any{"Service": u.m.service, "Version": "v1", "Zone": u.m.zone, "Slots": slotCount},
		"Status": map[string]any{"State": state, "Sequence": u.sequence, "ColdRemainingMs": 0},
	})
	return "http://" + u.m.control + "/lacewingslip/rpc?call=instances.heartbeat&of=" + u.id, body
}

// announce sends a check-in, and returns when it was acknowledged within a second.
func (u *upstream) announce(state string) (acked time.Time, ok bool) {
	url, body := u.message(state)
	return u.post(state, url, body)
}

func (u *upstream) post(state, url string, body []byte) (acked time.Time, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		u.m.d.rec.printf("%s: server %s says %s: no ack (%v)", u.m.name, u.id, state, err)
		return time.Time{}, false
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	acked = time.Now()
	u.m.d.rec.printf("%s: server %s says %s: %d", u.m.name, u.id, state, response.StatusCode)
	return acked, response.StatusCode/100 == 2
}

// setState sets the state that the next check-in and liveness checks state.
func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// ServeHTTP handles a request or a liveness check.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	state, running := u.state, len(u.running)
	u.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, slotCount))
	if state != "ready" {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", u.id)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		u.m.d.rec.printf("%s: server %s gets a liveness check while %s", u.m.name, u.id, state)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != u.id {
		w.Header().Set("X-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" || running >= slotCount {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(map[bool]int{true: http.StatusBadRequest, false: http.StatusServiceUnavailable}[id == ""])
		return
	}
	io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	if u.ended {
		u.mu.Unlock()
		return
	}
	u.running[id] = true
	u.runs = append(u.runs, run{id: id, caller: r.Header.Get("X-Caller-Service"), path: r.URL.Path, at: time.Now()})
	u.mu.Unlock()
	u.m.d.rec.printf("%s: server %s (%s, %s) runs %s %s", u.m.name, u.id, u.m.service, state, id, r.URL.Path)
	select {
	case <-time.After(u.workOf(r.URL.Path)):
	case <-r.Context().Done():
	}
	u.mu.Lock()
	delete(u.running, id)
	u.mu.Unlock()
	w.Header().Set("X-Server-Signature", "3e1b.07.5a2.600.0."+id)
	io.WriteString(w, "booked "+id)
}

// exit ends the server and all of its connections, and reports the requests that it lost.
func (u *upstream) exit(why string) (lost []string) {
	u.mu.Lock()
	if u.ended {
		u.mu.Unlock()
		return nil
	}
	u.ended = true
	close(u.stop)
	for id := range u.running {
		lost = append(lost, id)
	}
	u.mu.Unlock()
	sort.Strings(lost)
	u.m.d.rec.printf("%s: server %s exits (%s) with %d requests running %v", u.m.name, u.id, why, len(lost), lost)
	u.server.Close()
	return lost
}

func (u *upstream) allRuns() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...)
}

// answer is how a request of a client ended.
type answer struct {
	id, ingress, text string
	status            int
	sent, ended       time.Time
}

// send sends one request of a client on the machine.
func (m *machine) send(method, path string, deadline time.Duration, body string) answer {
	m.d.mu.Lock()
	m.d.nextID++
	id := fmt.Sprintf("r%06d", m.d.nextID)
	m.d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+m.outbound+path, strings.NewReader(body))
	request.Host = "desk.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	a := answer{id: id, ingress: m.name, sent: time.Now()}
	m.d.rec.printf("%s: client sends %s %s %s", m.name, id, method, path)
	response, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		response.Body.Close()
		a.status, a.text = response.StatusCode, string(data)
	}
	a.ended = time.Now()
	if err != nil {
		a.status, a.text = 0, err.Error()
	}
	m.d.rec.printf("%s: client gets %d for %s after %d ms %.60q", m.name, a.status, id, a.ended.Sub(a.sent).Milliseconds(), a.text)
	return a
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20, IdleConnTimeout: 10 * time.Second}}

// isReady reports whether the node answers the readiness check with 200.
func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready+"/lacewingslip/readiness", nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (d *deployment) awaitReady() {
	end := time.Now().Add(20 * time.Second)
	for _, m := range d.machines {
		for !m.isReady() {
			if time.Now().After(end) {
				fatal("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.rec.printf("all nodes are ready")
}

// finish writes the verdict, ends all processes and exits.
func (d *deployment) finish(broken []string, held string) {
	d.close()
	for _, b := range broken {
		d.rec.printf("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		fmt.Printf("broken: %d, the first: %s\n", len(broken), broken[0])
		os.Exit(1)
	}
	d.rec.printf("HELD: %s", held)
	fmt.Println("held: " + held)
	os.Exit(0)
}
