package hop

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveMargin is kept from the time that the receiver states, since its
// clock started earlier than ours.
const keepAliveMargin = 500 * time.Millisecond

// keepAlive returns how long the receiver keeps an idle connection, or the
// default if it does not say.
func keepAlive(h http.Header, otherwise time.Duration) time.Duration {
	for _, parameter := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return otherwise
}
