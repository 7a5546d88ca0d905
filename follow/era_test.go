package follow_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/follow"
)

// Guards against a restore of the log that goes unnoticed because a node had stated the
// highest era.
func TestEraOutOfBoundsHidesNoRestore(t *testing.T) {
	era := follow.NewEraTracker()
	era.Observe(1)
	era.Observe(1<<63 - 1)
	higher, risen := era.Since(1)
	must.False(t, higher)
	era.Observe(2)
	<-risen
	must.EqOp(t, 2, era.Known())
}
