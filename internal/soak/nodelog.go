package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/event"
)

// processStart is the message of the line that precedes those of each process of a node.
const processStart = "process of the node starts"

// maxLineBytes is longer than any line of a node.
const maxLineBytes = 1 << 20

// logLine is a line of the log of a node.
type logLine struct {
	Time    string `json:"time"`
	Message string `json:"msg"`
	Version int64  `json:"version"`
}

// writeProcessStart marks the start of a process in the log of its node, in a line of its
// own even if the process before was killed while it wrote one.
func writeProcessStart(w io.Writer) (err error) {
	data, err := json.Marshal(logLine{Message: processStart})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "\n%s\n", data)
	return err
}

// checkAcceptedVersions checks that no process of a node has put an older version of the
// desired state into force than the one before. The probe misses this if another node
// returns the newer version at once.
func (r *run) checkAcceptedVersions(node, path string) (err error) {
	defer func() { err = eris.Wrapf(err, "read the log of %s", node) }()
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	var newest int64
	for scanner.Scan() {
		var line logLine
		// Not all lines are events: some are empty, or a part of one.
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			continue
		}
		switch line.Message {
		case processStart:
			newest = 0
		case event.SettingsAccepted.String():
			if line.Version < newest {
				r.ledger.recordViolation("%s put version %d of the desired state into force at %s, after version %d", node, line.Version, line.Time, newest)
			}
			newest = line.Version
		}
	}
	return scanner.Err()
}
