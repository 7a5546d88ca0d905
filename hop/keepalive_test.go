package hop

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a new connection for each request because the stated timeout overflows.
func TestKeepAliveTimeoutTooLarge(t *testing.T) {
	for _, seconds := range []string{"10000000000", "9223372036854775807"} {
		must.Greater(t, time.Hour, keepAliveTimeout("timeout="+seconds, time.Second))
	}
}
