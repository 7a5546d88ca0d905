package clientlimit

import "bytes"

const (
	// byteCost is the memory that a byte of a head takes: in the read buffer or the line that
	// is put together, and in the header map.
	byteCost = 2
	// lineCost is the memory that a line of a head takes beside its bytes: the entry of a map
	// that doubles when it grows, the list of values, and the garbage of both.
	lineCost = 256
)

// Head follows the head of a request as its bytes arrive: the empty lines before it, the
// request line and the header section. The zero value is ready for use.
type Head struct {
	bytes int64
	// lines counts the lines that are not empty.
	lines int64
	// begun is true once a line that is not empty has begun. lineHasText is true if the
	// current line is not empty so far.
	begun, lineHasText, ended bool
}

// Scan follows bytes as they arrive. It ignores those that come after the head.
func (h *Head) Scan(read []byte) {
	for len(read) > 0 && !h.ended {
		line := read
		end := bytes.IndexByte(read, '\n')
		if end >= 0 {
			line = read[:end]
		}
		h.bytes += int64(len(line))
		if hasText := len(line) > 1 || len(line) == 1 && line[0] != '\r'; hasText {
			h.begun, h.lineHasText = true, true
		}
		if end < 0 {
			return
		}
		h.bytes++
		if h.lineHasText {
			h.lines++
		}
		h.ended = h.begun && !h.lineHasText
		h.lineHasText = false
		read = read[end+1:]
	}
}

// Bytes returns the length of the head so far, including empty lines before it.
func (h *Head) Bytes() int64 { return h.bytes }

// Ended reports whether the whole head has arrived.
func (h *Head) Ended() bool { return h.ended }

// Cost returns the memory that the head takes.
func (h *Head) Cost() int64 { return byteCost*h.bytes + lineCost*h.lines }
