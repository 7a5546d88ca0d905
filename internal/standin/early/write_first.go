package early

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// DialWriteFirst connects as [net.Dialer.DialContext] does. It makes sure that a write gets the error
// that ends the connection: after the first read, reads wait until a write has failed. The failed
// write returns only when a read has got io.EOF, as if its goroutine had been interrupted.
func DialWriteFirst(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &writeFirstConn{TCPConn: c.(*net.TCPConn), failed: make(chan struct{}), ended: make(chan struct{})}, nil
}

type writeFirstConn struct {
	*net.TCPConn
	hasRead bool
	// failed is closed when a write has failed, and ended when a read has returned io.EOF or the
	// connection has been closed here.
	failed, ended         chan struct{}
	closeFailed, endReads sync.Once
}

// Write implements net.Conn.
func (c *writeFirstConn) Write(b []byte) (n int, err error) {
	if n, err = c.TCPConn.Write(b); err != nil {
		c.closeFailed.Do(func() { close(c.failed) })
		<-c.ended
	}
	return n, err
}

// Read implements net.Conn.
func (c *writeFirstConn) Read(b []byte) (n int, err error) {
	if c.hasRead {
		select {
		case <-c.failed:
		case <-c.ended:
		}
	}
	if n, err = c.TCPConn.Read(b); errors.Is(err, io.EOF) {
		c.end()
	}
	c.hasRead = true
	return n, err
}

// Close implements net.Conn.
func (c *writeFirstConn) Close() error {
	c.end()
	return c.TCPConn.Close()
}

func (c *writeFirstConn) end() { c.endReads.Do(func() { close(c.ended) }) }
