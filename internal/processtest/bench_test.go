package processtest

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sort"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/testcluster"
)

// benchTokens is short, so that the generation hides little of the added time.
const benchTokens = 4

// BenchmarkAddedLatency sends the same whole completion to a runner directly and
// through a daemon in turn, and reports the time that the daemon adds as a ratio
// and a difference of one run.
func BenchmarkAddedLatency(b *testing.B) {
	g := gomega.NewWithT(b)
	ctx, cluster := deployment(b, g, func(o *testcluster.Options) { o.TokenInterval = time.Millisecond })
	through, err := cluster.Address(ctx, cluster.VMs()[0])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	client := &http.Client{Timeout: callLimit}
	body := []byte(fmt.Sprintf(`{"model":%q,"prompt":"p","max_tokens":%d}`, adapterName(0), benchTokens))
	sent := 0
	send := func(address string) time.Duration {
		sent++
		began := time.Now()
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set("X-Request-Id", fmt.Sprintf("bench-%d", sent)) // the runner demands one
		response, err := client.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = response.Body.Close()
		g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
		return time.Since(began)
	}
	send(through) // loads the adapter
	direct := holderOf(g, cluster, adapterName(0))
	var directTimes, throughTimes []time.Duration
	for b.Loop() {
		directTimes = append(directTimes, send(direct))
		throughTimes = append(throughTimes, send(through))
	}
	for _, percent := range []int{50, 99} {
		d, t := percentile(directTimes, percent), percentile(throughTimes, percent)
		b.ReportMetric(float64(t)/float64(d), fmt.Sprintf("p%d-ratio", percent))
		b.ReportMetric(float64((t - d).Microseconds()), fmt.Sprintf("p%d-added-µs", percent))
	}
}

// holderOf returns the address of a runner that has the adapter.
func holderOf(g gomega.Gomega, cluster *testcluster.Cluster, adapter string) string {
	for _, target := range cluster.Runners() {
		var state struct {
			Resident []struct{ Organisation, Adapter, Version string } `json:"resident"`
		}
		get(g, target.Address, "/state", &state)
		for _, a := range state.Resident {
			if a.Organisation+"/"+a.Adapter+"@"+a.Version == adapter {
				return target.Address
			}
		}
	}
	g.Expect(adapter).To(gomega.BeEmpty(), "no runner has the adapter")
	return ""
}

func percentile(times []time.Duration, percent int) time.Duration {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[(len(times)-1)*percent/100]
}
