package mesh

import (
	"io"
	"net/http"
	"time"

	"github.com/lacewingslip/lacewingslip/hop"
)

const (
	streamBuffer = 32 << 10
	// writeTimeout limits each write of a streamed body. A receiver that has
	// stopped reading would otherwise hold the response, and with it a slot of the
	// backend server.
	writeTimeout = 15 * time.Second
)

// copyStream copies the rest of a long response to the receiver. An error means
// that the response is incomplete.
func copyStream(w http.ResponseWriter, resp *hop.Answer) (err error) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, streamBuffer)
	for {
		n, readErr := resp.Body.Read(buffer)
		if n > 0 {
			// An error means that the writer does not support deadlines, as in
			// tests. Slow receivers are not limited then.
			_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err = w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case readErr == io.EOF:
			resp.MarkBodyRead()
			return nil
		case readErr != nil:
			return readErr
		}
	}
}

// readResultBody reads the body of a response, or only the beginning of a long
// one, into memory. It closes the response unless the rest is to be streamed.
func readResultBody(resp *hop.Answer, res *result) (err error) {
	body, complete, err := resp.ReadAll(maxBufferedBytes)
	if err != nil {
		resp.Close()
		return err
	}
	res.body = body
	if complete {
		resp.Close()
		return nil
	}
	res.stream = resp
	return nil
}
