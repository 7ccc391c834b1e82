package settings

import "time"

// noopHost is a silverpath.Host that does nothing. It serves modules that are created only to validate settings.
type noopHost struct{}

// Run implements silverpath.Host.
func (noopHost) Run(string) {}

// Reject implements silverpath.Host.
func (noopHost) Reject(string, time.Duration, bool) {}

// Fail implements silverpath.Host.
func (noopHost) Fail(string) {}

// Join implements silverpath.Host.
func (noopHost) Join(string) {}

// Stop implements silverpath.Host.
func (noopHost) Stop(string) {}

// Call implements silverpath.Host.
func (noopHost) Call(string, time.Duration) {}

// SkipCall implements silverpath.Host.
func (noopHost) SkipCall(string) {}

// RememberKey implements silverpath.Host.
func (noopHost) RememberKey(string, time.Duration) {}

// ForgetKey implements silverpath.Host.
func (noopHost) ForgetKey(string) {}

// Health implements silverpath.Host.
func (noopHost) Health(bool) {}

// Signal implements silverpath.Host.
func (noopHost) Signal(float64) {}

// CloseIdle implements silverpath.Host.
func (noopHost) CloseIdle(time.Duration) {}

// Wake implements silverpath.Host.
func (noopHost) Wake(time.Duration) {}

// Log implements silverpath.Host.
func (noopHost) Log(string) {}
