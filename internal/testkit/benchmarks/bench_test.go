package benchmarks

import (
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	if RunMember() || RunHollow() {
		return
	}
	os.Exit(m.Run())
}

// The measurements are run manually: go test -run '^$' -bench NAME -benchtime 1x -timeout 20m ./internal/testkit/benchmarks/. Their output
// is kept in docs/results.
func BenchmarkOverload(b *testing.B)       { Overload(b) }
func BenchmarkRefusal(b *testing.B)        { Refusal(b) }
func BenchmarkProbes(b *testing.B)         { Probes(b) }
func BenchmarkCells(b *testing.B)          { Cells(b) }
func BenchmarkOperators(b *testing.B)      { Operators(b) }
func BenchmarkTakeover(b *testing.B)       { Takeover(b) }
func BenchmarkOwner(b *testing.B)          { Owner(b) }
func BenchmarkRules(b *testing.B)          { Rules(b) }
func BenchmarkDurable(b *testing.B)        { Durable(b) }
func BenchmarkPowerLoss(b *testing.B)      { PowerLoss(b) }
func BenchmarkPartsSchedules(b *testing.B) { PartsSchedules(b) }
func BenchmarkPartsTime(b *testing.B)      { PartsTime(b) }
func BenchmarkScale(b *testing.B)          { Scale(b) }
func BenchmarkParts(b *testing.B)          { Parts(b) }
