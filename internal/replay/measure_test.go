package replay

import (
	"context"
	"os"
	"testing"
)

func TestTrial(t *testing.T) {
	r, err := MeasureSynthetic(context.Background(), Deployments(), []uint64{1}, 2)
	if err != nil {
		t.Fatal(err)
	}
	_ = WriteTable(os.Stdout, Report(r))
	for _, c := range r {
		for _, d := range c.Details {
			t.Log(d)
		}
	}
}
