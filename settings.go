package silverpath

import (
	"fmt"
	"math"
	"time"
)

// validate returns an error that names the first invalid field, and raises MaxRunsPerCore and RunFactor to
// at least 1. Errors use the field names that operators know from logs and earlier errors. These differ
// from the Go names for Aim and AimStretch (Objective, ObjectiveStretch), Worth (Weight), LateWorth
// (LateWeight), KeyWindow (IdempotencyWindow), WithoutCall (DegradedWeight), ColdFrom (ColdSpeed),
// WarmWithin (WarmupTime), CrowdLimit (MaxRunsPerCore), CrowdWindow (RunsWindow), OverShareWorth
// (OverQuotaWeight), MaxAdvice (MaxRetryAfter) and CallShare (CallQuota).
func validate(set *Settings) error {
	if set.Cores <= 0 {
		return missingFieldError("Cores")
	}
	if !(set.MemoryKB > 0) {
		return missingFieldError("MemoryKB")
	}
	if len(set.Classes) == 0 {
		return missingFieldError("Classes")
	}
	for _, f := range []intField{{"Servers", set.Servers}, {"Callers", set.Callers}, {"Tier", set.Tier}} {
		if f.value < 0 {
			return fmt.Errorf("%s: negative: %d", f.name, f.value)
		}
	}
	if err := validateClasses(set.Classes); err != nil {
		return err
	}
	if err := validateNumbers(numberFields(set)); err != nil {
		return err
	}
	if err := validateDurations(durationFields(set)); err != nil {
		return err
	}
	set.MaxRunsPerCore = max(1, set.MaxRunsPerCore)
	set.RunFactor = max(1, set.RunFactor)
	return nil
}

// missingFieldError returns the error for a required field that is missing.
func missingFieldError(field string) error { return fmt.Errorf("%s: none", field) }

type intField struct {
	name  string
	value int
}

type numberField struct {
	name  string
	value float64
}

type durationField struct {
	name  string
	value time.Duration
}

// maxDuration is the longest duration that a setting may have; sums of a few such durations do not
// overflow.
const maxDuration = 366 * 24 * time.Hour

// validateClasses returns an error if a class has no deadline or two classes have the same name.
func validateClasses(classes []Class) error {
	names := map[string]bool{}
	for i, c := range classes {
		if names[c.Name] {
			return fmt.Errorf("Classes[%d].Name: %q given twice", i, c.Name)
		}
		names[c.Name] = true
		if c.Deadline <= 0 {
			return missingFieldError(fmt.Sprintf("Classes[%d].Deadline", i))
		}
	}
	return nil
}

// numberFields returns the numbers of the settings with the names that errors use.
func numberFields(set *Settings) []numberField {
	fields := []numberField{
		{"MemoryKB", set.MemoryKB}, {"RunFactor", set.RunFactor}, {"KeyKB", set.KeyKB}, {"ColdFrom", set.ColdSpeed},
		{"CrowdLimit", set.MaxRunsPerCore}, {"OverShareWorth", set.OverQuotaWeight}, {"ClassMix", set.ClassMix},
		{"CallShare", set.CallQuota},
	}
	for i, c := range set.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		fields = append(fields, numberField{at + "AimStretch", c.ObjectiveStretch}, numberField{at + "Worth", c.Weight},
			numberField{at + "LateWorth", c.LateWeight}, numberField{at + "WithoutCall", c.DegradedWeight})
	}
	for i, t := range set.Tenants {
		fields = append(fields, numberField{fmt.Sprintf("Tenants[%d].Rate", i), t.Rate})
	}
	return fields
}

// validateNumbers returns an error for the first number that is negative, infinite or NaN.
func validateNumbers(fields []numberField) error {
	for _, f := range fields {
		if !(f.value >= 0) || math.IsInf(f.value, 1) {
			return fmt.Errorf("%s: not a number of 0 or more: %v", f.name, f.value)
		}
	}
	return nil
}

// durationFields returns the durations of the settings with the names that errors use.
func durationFields(set *Settings) []durationField {
	fields := []durationField{
		{"WarmWithin", set.WarmupTime}, {"CrowdWindow", set.RunsWindow}, {"DrainGrace", set.DrainGrace},
		{"FreshFor", set.FreshFor}, {"MaxAdvice", set.MaxRetryAfter}, {"CallWindow", set.CallWindow},
		{"CallLinger", set.CallLinger}, {"KeepAlive", set.KeepAlive},
	}
	for i, c := range set.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		fields = append(fields, durationField{at + "Aim", c.Objective}, durationField{at + "Deadline", c.Deadline},
			durationField{at + "KeyWindow", c.IdempotencyWindow})
	}
	return fields
}

// validateDurations returns an error for the first duration that is negative or exceeds maxDuration.
func validateDurations(fields []durationField) error {
	for _, f := range fields {
		if f.value < 0 || f.value > maxDuration {
			return fmt.Errorf("%s: negative, or longer than a year: %v", f.name, f.value)
		}
	}
	return nil
}
