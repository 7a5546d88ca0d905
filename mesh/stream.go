package mesh

import (
	"io"
	"net/http"
	"time"

	"github.com/lacewingslip/lacewingslip/hop"
)

const (
	streamBuffer = 32 << 10
	// writeTimeout bounds how long a receiver that has stopped reading holds an
	// answer, and with it a slot of the backend server.
	writeTimeout = 15 * time.Second
)

// copyStream passes the rest of a long answer on. An error means that it is not
// complete.
func copyStream(w http.ResponseWriter, answer *hop.Answer) (err error) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, streamBuffer)
	for {
		n, readErr := answer.Body.Read(buffer)
		if n > 0 {
			// Writers without deadlines, as in tests, are not bounded.
			_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err = w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case readErr == io.EOF:
			answer.Ended()
			return nil
		case readErr != nil:
			return readErr
		}
	}
}

// readReply reads the body of an answer into memory, or its beginning if it is
// long. It closes the answer unless the rest is to be streamed.
func readReply(answer *hop.Answer, r *reply) (err error) {
	body, complete, err := answer.ReadAll(bufferedBody)
	if err != nil {
		answer.Close()
		return err
	}
	r.body = body
	if complete {
		answer.Close()
		return nil
	}
	r.stream = answer
	return nil
}
