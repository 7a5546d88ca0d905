package abuse_test

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/internal/abuse"
)

const (
	// slowClients are more than the descriptors of the node.
	slowClients = abuse.Descriptors + 200
	// unreadClients hold 100 MB together if an answer is held for each.
	unreadClients = clients
	// repeatingClients send about 1,000 requests a second.
	repeatingClients = 64
	// repeatedRequests are more than the descriptors of the node.
	repeatedRequests = 2 * abuse.Descriptors
	// reconnectingClients open about 2,500 connections a second.
	reconnectingClients = 128
)

// runContinued starts a node for each of the ports and lets a crowd loose on it. It checks that
// the process lives within its limits, and that it answers an ordinary request once the crowd
// has gone. The usage is read once the backend server has received a number of requests.
func runContinued(t *testing.T, ports []string, clients, descriptors int, served int64, behave func(ctx context.Context, conn net.Conn, address string)) {
	for _, port := range ports {
		t.Run(port, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), answerWait)
			defer cancel()
			d, err := abuse.Start(binaries, t.TempDir(), descriptors)
			must.NoError(t, err)
			defer d.Close()
			must.NoError(t, d.WaitAnswered(ctx))
			before, err := d.Usage()
			must.NoError(t, err)

			crowd := abuse.OpenContinued(ctx, clients, d.Address(port), behave)
			defer crowd.Close()
			must.NoError(t, d.WaitServed(ctx, served))
			during, err := d.Settle()
			must.NoError(t, err)
			crowd.Close()
			must.NoError(t, d.WaitAnswered(ctx))
			after, err := d.Usage()
			must.NoError(t, err)
			t.Logf("before: %d MB; peak: %d MB; descriptors before %d, during %d",
				before.PeakBytes>>20, after.PeakBytes>>20, before.Descriptors, during.Descriptors)
			must.LessEq(t, int64(abuse.MemoryBytes), after.PeakBytes)
			must.LessEq(t, abuse.Descriptors, during.Descriptors)
		})
	}
}

// Guards against heads that arrive one byte at a time and take all descriptors.
func TestHeadsByteByByte(t *testing.T) {
	runContinued(t, abuse.Ports, slowClients, abuse.Descriptors, 0, abuse.SendByteByByte)
}

// Guards against connections that are opened and closed without end and keep their
// descriptors or memory.
func TestReconnects(t *testing.T) {
	runContinued(t, abuse.Ports, reconnectingClients, abuse.Descriptors, 0, abuse.Reconnect)
}

// Guards against answers that are held in memory for callers that do not read them.
func TestUnreadAnswers(t *testing.T) {
	runContinued(t, []string{"caller"}, unreadClients, manyDescriptors, unreadClients, abuse.SendUnread)
}

// Guards against connections of the node to its backend server that grow in number with the
// requests of one ID: a connection is not used twice for the same ID.
func TestRepeatedRequestID(t *testing.T) {
	runContinued(t, []string{"caller"}, repeatingClients, abuse.Descriptors, repeatedRequests, abuse.SendSameID)
}
