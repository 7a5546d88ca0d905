// Package nodeconfig holds the settings that a node process gets from the platform: its
// location, its addresses, its resource limits, and the bounds that the deployment
// guarantees.
//
// # Usage
//
// Package platform reads a [Config] from the platform's settings file, and the node is
// created from it:
//
//	settings, err := platform.ReadSettings()
//	n, err := mesh.New(settings)
package nodeconfig

import (
	"time"

	"github.com/rotisserie/eris"
)

// Config holds the settings of a process. They are read at start and on a reload, and
// passed by value. The fields are exported because this package derives no other values
// from them.
type Config struct {
	// Node is the name of this process's VM, unique in the deployment.
	Node string
	// Region and Zone are the region and the availability zone of the VM.
	Region, Zone string
	// IP is the IP address of the VM.
	IP string
	// Service is the service of the backend server beside this process, and Backend is
	// the address of that server.
	Service, Backend string
	// RegionOf maps each availability zone to its region.
	RegionOf map[string]string
	// Listen has the addresses that this process listens on.
	Listen Listen
	// FirstPort and LastPort are the inclusive range of ports for traffic between
	// nodes.
	FirstPort, LastPort int
	// Log is the address of the platform's log service.
	Log string
	// MemoryBytes and Descriptors are the limits of memory and file descriptors for
	// the process.
	MemoryBytes int64
	Descriptors int
	// AnnounceInterval is the usual interval between announcements of the backend
	// server.
	AnnounceInterval time.Duration
	Bounds           Bounds
}

// Listen has the addresses that a process listens on.
type Listen struct {
	// Caller is for callers on this VM, including the backend server.
	Caller string
	// Peer is for calls from other nodes.
	Peer string
	// Advertised is the address that is published to other nodes instead of Peer, if
	// they reach this node through a proxy or address translation. It is usually
	// empty.
	Advertised string
	// Ready is for the readiness probe of the platform.
	Ready string
	// Announce is for announcements from the backend server.
	Announce string
}

// Bounds are the time and retry limits that the deployment guarantees to its users.
type Bounds struct {
	// Drain is how long requests may still reach a backend server after its
	// deregistration was acknowledged.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// ConfigApply is the time within which a new desired state takes effect on all
	// nodes.
	ConfigApply time.Duration
	// RetryRatio is the share of a service's requests within RetryWindow that may be
	// retried. RetrySlack is the number of retries allowed in addition. Both apply to
	// all nodes together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// FailClosed makes a node that can't prove for Revoke that its desired state is the newest
	// refuse requests that need a key.
	FailClosed bool
	// Revoke is the time after which a withdrawn key admits no request at any node.
	Revoke time.Duration
	// In any CapWindow, the requests of a workspace may exceed its cap by the share CapOver,
	// and by CapSlack requests, over all nodes together.
	CapWindow         time.Duration
	CapOver, CapSlack float64
}

// Check returns an error if a required value is missing or invalid.
func (c Config) Check() (err error) {
	for _, required := range []struct{ name, value string }{
		{"node name", c.Node},
		{"region", c.Region},
		{"availability zone", c.Zone},
		{"service of the backend server", c.Service},
		{"address of the backend server", c.Backend},
		{"address for callers", c.Listen.Caller},
		{"address for other nodes", c.Listen.Peer},
		{"address for the readiness probe", c.Listen.Ready},
		{"address for announcements", c.Listen.Announce},
		{"address of the log service", c.Log},
	} {
		if required.value == "" {
			return eris.Errorf("the %s is not set", required.name)
		}
	}
	if c.FirstPort <= 0 || c.LastPort < c.FirstPort {
		return eris.Errorf("invalid ports for traffic between nodes: %d to %d is not a range", c.FirstPort, c.LastPort)
	}
	return nil
}
