package admission

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// Pool sets up one pool of runs: a bulkhead for some classes.
type Pool struct {
	Name    string
	Classes []string // whose requests it runs; each class is in one pool. None: all classes that no pool names
	Weight  float64  // its part, against the others', of what lies over the floors
	Floor   float64  // share of the limit that is always its own when it wants it
}

// Config sets up the pools of a server.
type Config struct {
	Pools  []Pool
	Limit  Bounds
	Memory MemoryStages
}

// defaultPoolName is the pool of the classes that no pool names, where none is set up for them.
const defaultPoolName = "rest"

// floorTolerance is by how much floors may add up to more than 1: shares like 0.1 are not exact.
const floorTolerance = 1e-9

// Check names the first field that no pools can have.
func (c Config) Check() error {
	if len(c.Pools) == 0 {
		return errors.New("pools: none")
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

// checkPools checks each pool, and that names and classes are in one pool each and the floors fit together.
func (c Config) checkPools() error {
	names, classes := map[string]int{}, map[string]int{}
	var floors float64
	catchAll := -1 // index of the pool without classes
	for i, p := range c.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		if p.Name == "" {
			return fmt.Errorf("%s.name: missing", path)
		}
		if j, duplicate := names[p.Name]; duplicate {
			return fmt.Errorf("%s.name: %q is that of pools[%d] too", path, p.Name, j)
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
			if catchAll >= 0 {
				return fmt.Errorf("%s.classes: none, as in pools[%d]", path, catchAll)
			}
			catchAll = i
		}
		for _, class := range p.Classes {
			if j, duplicate := classes[class]; duplicate {
				return fmt.Errorf("%s.classes: %q is in pools[%d] too", path, class, j)
			}
			classes[class] = i
		}
	}
	if floors > 1+floorTolerance {
		return fmt.Errorf("%s: add up to %.3g, more than there is", c.floorFields(), floors)
	}
	return nil
}

// isAmount reports whether a value is a number of 0 or more; NaN is none.
func isNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// floorFields names the fields of all floors that are not 0.
func (c Config) floorFields() string {
	var fields []string
	for i, p := range c.Pools {
		if p.Floor > 0 {
			fields = append(fields, fmt.Sprintf("pools[%d].floor", i))
		}
	}
	return strings.Join(fields, ", ")
}
