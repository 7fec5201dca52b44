package replay

import (
	"fmt"
	"io"
	"slices"

	"github.com/goccy/go-yaml"

	"cicadaslip/internal/errs"
)

// maxOutcomesBytes bounds a file of outcomes.
const maxOutcomesBytes = 1 << 20

// Outcomes are the outcomes that a file states. Every bound and invariant must
// hold; the invariants are checked in every run, whether stated or not.
type Outcomes struct {
	// Measures bounds measures by variant and name.
	Measures map[string]map[string]Bounds `yaml:"measures"`
	// Invariants names invariants that must not be violated.
	Invariants []string `yaml:"invariants"`
}

// Bounds are the least and the greatest value; an absent one is not checked.
type Bounds struct {
	Min *float64 `yaml:"min"`
	Max *float64 `yaml:"max"`
}

// ReadOutcomes reads a YAML file of outcomes. Unknown fields, measures and
// invariants are errors with code invalid_configuration.
func ReadOutcomes(from io.Reader) (*Outcomes, error) {
	data, err := io.ReadAll(io.LimitReader(from, maxOutcomesBytes+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "the outcomes cannot be read")
	}
	if len(data) > maxOutcomesBytes {
		return nil, errs.New(errs.TooLarge, "the outcomes are over the limit")
	}
	var o Outcomes
	if err := yaml.UnmarshalWithOptions(data, &o, yaml.DisallowUnknownField()); err != nil {
		return nil, errs.Wrap(err, errs.InvalidConfig, "the outcomes are invalid")
	}
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &o, nil
}

func (o *Outcomes) validate() error {
	var faults []string
	for variant, bounds := range o.Measures {
		if !slices.Contains(Variants(), variant) {
			faults = append(faults, "unknown variant "+variant)
		}
		for measure, b := range bounds {
			if !slices.Contains(measures, measure) {
				faults = append(faults, "unknown measure "+measure)
			}
			if b.Min == nil && b.Max == nil {
				faults = append(faults, "no bound on "+measure)
			}
		}
	}
	for _, invariant := range o.Invariants {
		if !slices.Contains(Invariants(), invariant) {
			faults = append(faults, "unknown invariant "+invariant)
		}
	}
	if len(o.Measures)+len(o.Invariants) == 0 {
		faults = append(faults, "no outcome is stated")
	}
	if len(faults) == 0 {
		return nil
	}
	slices.Sort(faults)
	return errs.New(errs.InvalidConfig, "the outcomes are invalid").WithDetails(faults...)
}

// Check returns one line for each outcome that a result does not have, and for
// each violated invariant.
func (o *Outcomes) Check(c *Compared) []string {
	var faults []string
	for _, variant := range Variants() {
		for measure, b := range o.Measures[variant] {
			v := c.Figures[variant][measure]
			if b.Min != nil && !(v >= *b.Min) {
				faults = append(faults, fmt.Sprintf("%s %s is %.4g, expected at least %.4g", variant, measure, v, *b.Min))
			}
			if b.Max != nil && !(v <= *b.Max) {
				faults = append(faults, fmt.Sprintf("%s %s is %.4g, expected at most %.4g", variant, measure, v, *b.Max))
			}
		}
	}
	slices.Sort(faults)
	return append(faults, c.ViolationLines()...)
}

// ViolationLines returns one line for each violated invariant of each variant,
// and the first violations in words.
func (c *Compared) ViolationLines() []string {
	var lines []string
	for _, variant := range Variants() {
		for _, invariant := range Invariants() {
			if n := c.Violations[variant][invariant]; n > 0 {
				lines = append(lines, fmt.Sprintf("%s violates %s %d times", variant, invariant, n))
			}
		}
	}
	if len(lines) > 0 {
		lines = append(lines, c.Details...)
	}
	return lines
}
