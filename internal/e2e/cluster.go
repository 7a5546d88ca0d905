// Package e2e runs nodes as processes of their own, with a log service and
// backend servers in the test's process, and breaks them: nodes are killed,
// frozen and resumed, and connections are cut by a relay.
//
// # Usage
//
//	cluster, err := e2e.Start(binary, directory, "n1", "n2", "n3")
//	defer cluster.Close()
//	key, err := cluster.Key("n1", "n2")
//	answer := cluster.Book("n1", key, "400 trays")
package e2e

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/lacewingslip/lacewingslip/booking"
	"github.com/lacewingslip/lacewingslip/call"
	"github.com/lacewingslip/lacewingslip/internal/standin/logservice"
	"github.com/lacewingslip/lacewingslip/settings"
)

const (
	service = "orders"

	// startTimeout is long, since the machine may be busy. It decides no test.
	startTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	// routeTimeout ends calls to frozen nodes.
	routeTimeout  = 2 * time.Second
	callerTimeout = 5 * time.Second
)

const rootBranch = `defaults:
  timeout: 2s
  retries: 3
teams:
  orders:
    publicKey: %s
    services: [orders]
`

const ordersBranch = `services:
  orders:
    slots: 50
    connections: 400
    routes:
      - path: /book
        methods: [POST]
        importance: critical
        repeat: never
        timeout: 2s
`

const nodeFile = `node: %s
region: addis
availabilityZone: addis-a
listen:
  caller: %s
  backend: %s
  peer: %s
  operator: %s
seeds: [%s]
log: %s
rootPublicKey: %s
`

// Cluster is a set of nodes with a backend server each.
type Cluster struct {
	binary, directory string
	rootKey           ed25519.PublicKey

	log       *logservice.Service
	logServer *http.Server
	logAddr   string
	nodes     map[string]*Node
	runs      *Runs
}

// Node is one node process and the backend server beside it.
type Node struct {
	cluster                         *Cluster
	name                            string
	caller, backend, peer, operator string
	command                         *exec.Cmd
	server                          *Backend
}

// Start runs a log service, publishes settings and starts the nodes.
func Start(binary, directory string, names ...string) (c *Cluster, err error) {
	c = &Cluster{binary: binary, directory: directory, log: logservice.New(), nodes: map[string]*Node{}, runs: &Runs{counts: map[string]int{}}}
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	if err := c.serveLog(); err != nil {
		return c, err
	}
	if err := c.publish(); err != nil {
		return c, err
	}
	for _, name := range names {
		if err := c.add(name); err != nil {
			return c, err
		}
	}
	for _, name := range names {
		if err := c.nodes[name].Start(); err != nil {
			return c, err
		}
	}
	return c, c.waitReachable(names)
}

// Close kills all nodes and ends the log service and the backend servers.
func (c *Cluster) Close() {
	for _, n := range c.nodes {
		n.Resume()
		n.Kill()
		n.server.close()
	}
	c.logServer.Close()
}

// Node returns a node by name.
func (c *Cluster) Node(name string) *Node { return c.nodes[name] }

// Log is the log service, for its faults.
func (c *Cluster) Log() *logservice.Service { return c.log }

// Runs tells how often bookings ran.
func (c *Cluster) Runs() *Runs { return c.runs }

// Backend returns the backend server beside the node.
func (n *Node) Backend() *Backend { return n.server }

// Start starts the node's process and waits until it is ready and has taken its
// backend server on.
func (n *Node) Start() error {
	logFile, err := os.OpenFile(n.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	n.command = exec.Command(n.cluster.binary, "--file", n.path("yaml"))
	n.command.Stdout, n.command.Stderr = logFile, logFile
	if err := n.command.Start(); err != nil {
		return err
	}
	deadline := time.Now().Add(startTimeout)
	if err := n.server.announce(n.backend, deadline); err != nil {
		return fmt.Errorf("announcement to %s: %w (see %s)", n.name, err, n.path("log"))
	}
	return n.waitReady(deadline)
}

// Kill ends the process at once.
func (n *Node) Kill() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Kill() // it may have ended by itself
	_ = n.command.Wait()
	n.command = nil
}

// Freeze stops the process without its knowing.
func (n *Node) Freeze() error { return n.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (n *Node) Resume() { _ = n.signal(syscall.SIGCONT) }

// Drain lets the backend server leave its node.
func (n *Node) Drain() error { return n.server.drain(n.backend) }

func (n *Node) signal(s syscall.Signal) error {
	if n.command == nil || n.command.Process == nil {
		return errors.New("process has ended")
	}
	return n.command.Process.Signal(s)
}

func (n *Node) path(extension string) string {
	return filepath.Join(n.cluster.directory, n.name+"."+extension)
}

func (n *Node) waitReady(deadline time.Time) error {
	for {
		response, err := http.Get("http://" + n.operator + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("%s is not ready: %s", n.name, response.Status)
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w (see %s)", err, n.path("log"))
		}
		time.Sleep(pollInterval)
	}
}

// waitReachable waits until each node issues keys of every node, which shows
// that it knows their backend servers.
func (c *Cluster) waitReachable(names []string) error {
	for _, from := range names {
		for _, owner := range names {
			if _, err := c.Key(from, owner); err != nil {
				return err
			}
		}
	}
	return nil
}

// Key returns a key that a node issued and that the owner may run.
func (c *Cluster) Key(from, owner string) (key string, err error) {
	deadline := time.Now().Add(startTimeout)
	for {
		keys, err := c.keys(from)
		if err != nil && time.Now().After(deadline) {
			return "", err
		}
		for _, text := range keys {
			if k, err := booking.ParseKey(text); err == nil && k.Node() == owner {
				return text, nil
			}
		}
		if time.Now().After(deadline) {
			return "", fmt.Errorf("%s issued no key of %s", from, owner)
		}
		time.Sleep(pollInterval)
	}
}

func (c *Cluster) keys(from string) (keys []string, err error) {
	response, err := http.Post("http://"+c.nodes[from].caller+"/lacewingslip/v1/keys?service="+service+"&count=16", "", nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var body struct {
		Keys []string `json:"keys"`
	}
	if response.StatusCode >= 300 {
		return nil, fmt.Errorf("%s answered %s", from, response.Status)
	}
	return body.Keys, json.NewDecoder(response.Body).Decode(&body)
}

// Answer is what a caller learns.
type Answer struct {
	Outcome call.Outcome
	Reason  call.Reason
	Status  int
	Body    string
}

// Book sends a booking through a node. An answer that is not complete is
// unknown, as it is for any caller.
func (c *Cluster) Book(ctx context.Context, through, key, body string) (a Answer) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	url := "http://" + c.nodes[through].caller + "/" + service + "/book"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return a
	}
	request.ContentLength = int64(len(body))
	request.Header.Set(call.HeaderKey, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return a
	}
	a.Outcome, err = call.ParseOutcome(response.Header.Get(call.HeaderOutcome))
	if err != nil {
		return Answer{}
	}
	a.Reason = call.Reason(response.Header.Get(call.HeaderReason))
	a.Status, a.Body = response.StatusCode, string(text)
	return a
}

func (c *Cluster) serveLog() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.logAddr = l.Addr().String()
	c.logServer = &http.Server{Handler: c.log}
	go func() { _ = c.logServer.Serve(l) }()
	return nil
}

// publish puts the settings into the log.
func (c *Cluster) publish() error {
	rootPublic, rootPrivate, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	teamPublic, teamPrivate, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	c.rootKey = rootPublic
	root := fmt.Sprintf(rootBranch, settings.FormatPublicKey(teamPublic))
	history := settings.NewHistory(rootPublic)
	if err := c.apply(history, "root", root, rootPrivate); err != nil {
		return err
	}
	return c.apply(history, service, ordersBranch, teamPrivate)
}

func (c *Cluster) apply(h *settings.History, branch, content string, key ed25519.PrivateKey) error {
	change, err := settings.NewChange(branch, 0, []byte(content))
	if err != nil {
		return err
	}
	verdict, err := settings.Publish(context.Background(), c.log, h, change.Sign(key), settings.Nodes{Client: http.DefaultClient})
	if err != nil {
		return err
	}
	if verdict.Kind != settings.Accepted {
		return fmt.Errorf("settings of branch %s: %v", branch, verdict)
	}
	return nil
}

// add writes the file of a node and starts its backend server.
func (c *Cluster) add(name string) (err error) {
	n := &Node{cluster: c, name: name}
	for _, address := range []*string{&n.caller, &n.backend, &n.peer, &n.operator} {
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	if n.server, err = startBackend(service, c.runs); err != nil {
		return err
	}
	var seeds []string
	for _, other := range c.nodes {
		seeds = append(seeds, other.peer)
	}
	c.nodes[name] = n
	text := fmt.Sprintf(nodeFile, name, n.caller, n.backend, n.peer, n.operator, strings.Join(seeds, ", "), c.logAddr, settings.FormatPublicKey(c.rootKey))
	return os.WriteFile(n.path("yaml"), []byte(text), 0o600)
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
