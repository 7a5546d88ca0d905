package command

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingslip/lacewingslip/framing"
)

const (
	membersPath = "/lacewingslip/v1/members"
	statusPath  = "/lacewingslip/v1/status"

	// maxConcurrentNodes bounds the number of concurrent connections.
	maxConcurrentNodes = 32
	// maxResponseBytes is many times the size of the list of members with 1,100
	// nodes, which takes about 400 bytes for each.
	maxResponseBytes = 8 << 20
)

// member is a node as reported by another node.
type member struct {
	Node     string `json:"node"`
	Operator string `json:"operator"`
	Service  string `json:"service"`
	Region   string `json:"region"`
	Zone     string `json:"availabilityZone"`
	State    string `json:"state"`
	Health   string `json:"health"`
}

// nodeClient queries nodes at their operator addresses.
type nodeClient struct {
	client *http.Client
	// address is the operator address of the node that lists the others.
	address string
}

func nodeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:     "operator",
			Usage:    "`HOST:PORT` is the operator address of any node",
			Sources:  cli.EnvVars("LACEWINGSLIP_OPERATOR"),
			Required: true,
		},
		&cli.DurationFlag{
			Name:  "timeout",
			Usage: "wait `TIME` for each node, for example 500ms",
			Value: 2 * time.Second,
		},
	}
}

func newNodeClient(c *cli.Command) *nodeClient {
	return &nodeClient{
		client:  &http.Client{Timeout: c.Duration("timeout"), Transport: framing.NewDefaultTransport()},
		address: c.String("operator"),
	}
}

// members returns the nodes that the node at client.address knows, sorted by ID.
// It omits nodes that left.
func (client *nodeClient) members(ctx context.Context) (members []member, err error) {
	if err := client.get(ctx, client.address, membersPath, &members); err != nil {
		return nil, err
	}
	members = slices.DeleteFunc(members, func(m member) bool { return m.Health == "left" })
	slices.SortFunc(members, func(a, b member) int { return cmp.Compare(a.Node, b.Node) })
	return members, nil
}

// forEach calls query for every member with an operator address, for at most
// maxConcurrentNodes at a time, and returns the errors in order of members.
func (client *nodeClient) forEach(members []member, query func(i int, m member) error) (errs []error) {
	errs = make([]error, len(members))
	var group errgroup.Group
	group.SetLimit(maxConcurrentNodes)
	for i, m := range members {
		group.Go(func() error {
			if m.Operator == "" {
				errs[i] = fmt.Errorf("node %s has no operator address", m.Node)
				return nil
			}
			errs[i] = query(i, m)
			return nil
		})
	}
	_ = group.Wait()
	return errs
}

func (client *nodeClient) get(ctx context.Context, address, path string, response any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("ask node at %s: %w", address, err)
		}
	}()
	target := url.URL{Scheme: "http", Host: address, Path: path}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return err
	}
	resp, err := client.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s responded with status %s: %s", path, resp.Status, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, response); err != nil {
		return fmt.Errorf("decode response of %s: %w", path, err)
	}
	return nil
}
