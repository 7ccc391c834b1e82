package settings

import "time"

// silent is a silverpath.Host that does nothing, for a module that is only asked whether it takes its settings.
type silent struct{}

// Run implements silverpath.Host.
func (silent) Run(string) {}

// Reject implements silverpath.Host.
func (silent) Reject(string, time.Duration, bool) {}

// Fail implements silverpath.Host.
func (silent) Fail(string) {}

// Join implements silverpath.Host.
func (silent) Join(string) {}

// Stop implements silverpath.Host.
func (silent) Stop(string) {}

// Call implements silverpath.Host.
func (silent) Call(string, time.Duration) {}

// SkipCall implements silverpath.Host.
func (silent) SkipCall(string) {}

// RememberKey implements silverpath.Host.
func (silent) RememberKey(string, time.Duration) {}

// ForgetKey implements silverpath.Host.
func (silent) ForgetKey(string) {}

// Health implements silverpath.Host.
func (silent) Health(bool) {}

// Signal implements silverpath.Host.
func (silent) Signal(float64) {}

// CloseIdle implements silverpath.Host.
func (silent) CloseIdle(time.Duration) {}

// Wake implements silverpath.Host.
func (silent) Wake(time.Duration) {}

// Log implements silverpath.Host.
func (silent) Log(string) {}
