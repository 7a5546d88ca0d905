package hop

import (
	"strconv"
	"strings"
	"time"
)

// keepAliveMargin is subtracted from the idle timeout that the receiver states,
// because the receiver starts its timer before this side does.
const keepAliveMargin = 500 * time.Millisecond

// maxKeepAliveSeconds bounds the stated timeout, so that it can be converted.
const maxKeepAliveSeconds = 24 * 60 * 60

// keepAliveTimeout returns how long the receiver keeps an idle connection,
// according to the value of its Keep-Alive header, or fallback if that states no timeout.
func keepAliveTimeout(value string, fallback time.Duration) time.Duration {
	for parameter := range strings.SplitSeq(value, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(min(seconds, maxKeepAliveSeconds))*time.Second - keepAliveMargin
		}
	}
	return fallback
}
