package relay

import (
	"fmt"
	"testing"
)

// TestLabelCounterIsBounded checks that a metric has a bounded number of keys, as
// names come from outside.
func TestLabelCounterIsBounded(t *testing.T) {
	var c labelCounter
	for i := range 2 * maxLabels {
		c.add(fmt.Sprint("route-", i), 1)
	}
	c.add("route-0", 1)
	if got := c.Get(otherLabel).String(); got != fmt.Sprint(maxLabels) {
		t.Errorf("%s counted as other, %d wanted", got, maxLabels)
	}
	if got := c.Get("route-0").String(); got != "2" {
		t.Errorf("route-0 counted %s times, 2 wanted", got)
	}
}
