package core

import (
	"time"

	"github.com/valyala/fastjson"
)

// TellsStatus reports whether fronts answer requests for the state of the service.
func (c *Core) TellsStatus() bool { return c.tellStatus }

// Status is the state of the service as a JSON object. Like everything cheap it reads the view, not the module.
func (c *Core) Status() []byte {
	v := c.shown.Load()
	var a fastjson.Arena
	o := a.NewObject()
	truth := func(b bool) *fastjson.Value {
		if b {
			return a.NewTrue()
		}
		return a.NewFalse()
	}
	o.Set("name", a.NewString(c.name))
	o.Set("phase", a.NewString(v.Phase.String()))
	o.Set("health", truth(v.Health))
	o.Set("up_s", a.NewNumberFloat64(time.Since(c.base).Round(time.Millisecond).Seconds()))
	o.Set("owed", a.NewNumberInt(v.Owed))
	o.Set("in_hand", a.NewNumberInt(v.InHand))
	g := a.NewObject()
	for i, name := range []string{"core_use", "on_cores", "memory"} {
		g.Set(name, a.NewNumberFloat64(v.Gauges[i]))
	}
	o.Set("gauges", g)
	return o.MarshalTo(nil)
}
