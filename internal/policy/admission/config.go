package admission

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// Pool configures one pool of runs, a bulkhead for some classes.
type Pool struct {
	Name    string
	Classes []string // classes whose requests the pool runs, each in one pool only; empty: all classes that no pool lists
	Weight  float64  // relative weight in the division of the capacity above the floors
	Floor   float64  // fraction of the limit that is guaranteed to the pool whenever it has demand
}

// Config configures the pools, the limit and the memory stages of a server.
type Config struct {
	Pools  []Pool
	Limit  Bounds
	Memory MemoryStages
}

// defaultPoolName is the name of the pool that is added for unlisted classes if no pool is configured for them.
const defaultPoolName = "rest"

// floorTolerance is the allowed excess of the sum of floors over 1: fractions such as 0.1 have no exact binary form.
const floorTolerance = 1e-9

// Check returns an error that names the first invalid field.
func (c Config) Check() error {
	if len(c.Pools) == 0 {
		return errors.New("pools: no pool is configured")
	}
	if err := c.checkPools(); err != nil {
		return err
	}
	for _, f := range []struct {
		name  string
		value float64
	}{{"least", c.Limit.Min}, {"start", c.Limit.Start}, {"fixed", c.Limit.Fixed}} {
		if !isNonNegative(f.value) {
			return fmt.Errorf("limit.%s: not a number of 0 or more: %v", f.name, f.value)
		}
	}
	return c.Memory.check()
}

// checkPools checks each pool, that names and classes are unique, and that the floors sum to at most 1.
func (c Config) checkPools() error {
	names, classes := map[string]int{}, map[string]int{}
	var floors float64
	catchAllIndex := -1 // index of the pool without classes
	for i, p := range c.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		if p.Name == "" {
			return fmt.Errorf("%s.name: missing", path)
		}
		if j, duplicate := names[p.Name]; duplicate {
			return fmt.Errorf("%s.name: %q is already the name of pools[%d]", path, p.Name, j)
		}
		names[p.Name] = i
		if !isNonNegative(p.Weight) {
			return fmt.Errorf("%s.weight: not a number of 0 or more: %v", path, p.Weight)
		}
		if !(p.Floor >= 0 && p.Floor <= 1) {
			return fmt.Errorf("%s.floor: not from 0 to 1: %v", path, p.Floor)
		}
		floors += p.Floor
		if len(p.Classes) == 0 {
			if catchAllIndex >= 0 {
				return fmt.Errorf("%s.classes: empty, but pools[%d] already has the classes that no pool lists", path, catchAllIndex)
			}
			catchAllIndex = i
		}
		for _, class := range p.Classes {
			if j, duplicate := classes[class]; duplicate {
				return fmt.Errorf("%s.classes: %q is already a class of pools[%d]", path, class, j)
			}
			classes[class] = i
		}
	}
	if floors > 1+floorTolerance {
		return fmt.Errorf("%s: add up to %.3g, which is more than 1", c.floorFields(), floors)
	}
	return nil
}

// isNonNegative reports whether a value is a finite number of 0 or more. NaN is not.
func isNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// floorFields returns the names of the fields of all floors over 0.
func (c Config) floorFields() string {
	var fields []string
	for i, p := range c.Pools {
		if p.Floor > 0 {
			fields = append(fields, fmt.Sprintf("pools[%d].floor", i))
		}
	}
	return strings.Join(fields, ", ")
}
