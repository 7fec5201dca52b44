package arrivals_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/arrivals"
	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// Guards against a log that grows beyond its capacity, loses its newest arrivals, adds
// another attempt of a request as an arrival, or sets the length of an answer on the
// wrong request.
func TestLogKeepsTheNewestArrivals(t *testing.T) {
	g := gomega.NewWithT(t)
	log := arrivals.NewLog(3, "riga")
	start := time.Unix(100, 0)
	for i := range 5 {
		id := model.RequestID(fmt.Sprint("r", i))
		log.AddRequest(start.Add(time.Duration(i)*time.Second), id, core.Request{Class: model.ClassService, Application: "booking"})
		log.AddRequest(start.Add(time.Hour), id, core.Request{})
	}
	log.SetOutputTokens("r0", 9)
	log.SetOutputTokens("r3", 7)
	all, omitted := log.Since(time.Time{}, 10)
	g.Expect(omitted).To(gomega.BeZero())
	g.Expect(all).To(gomega.HaveLen(3))
	g.Expect(all[0].ID).To(gomega.Equal(model.RequestID("r2")))
	g.Expect(all[1].OutputTokens).To(gomega.Equal(7))
	g.Expect(all[2].Served).To(gomega.Equal("booking"))
	newest, omitted := log.Since(start.Add(3*time.Second), 1)
	g.Expect(newest).To(gomega.HaveLen(1))
	g.Expect(omitted).To(gomega.Equal(1))
}
