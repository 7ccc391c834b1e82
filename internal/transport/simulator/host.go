package simulator

import (
	"strconv"
	"time"
)

// host implements silverpath.Host for one instance: it writes each action as a line of the reply.
type host struct {
	server     *server
	instanceID int64
}

// write writes an action on the request with the given ID. The argument rest holds the encoded further fields.
func (h *host) write(name, id, rest string) { h.server.writeLine(h.instanceID, name+"\tcorr="+id+rest) }

// durationField returns an encoded field with a duration in microseconds.
func durationField(field string, d time.Duration) string {
	return "\t" + field + "=" + strconv.FormatInt(d.Microseconds(), 10)
}

// flagField returns an encoded boolean field.
func flagField(field string, v bool) string {
	if v {
		return "\t" + field + "=1"
	}
	return "\t" + field + "=0"
}

// Run writes the action EXECUTE.
func (h *host) Run(id string) { h.write("EXECUTE", id, "") }

// Reject writes the action PUSH_BACK.
func (h *host) Reject(id string, after time.Duration, final bool) {
	rest := ""
	if after > 0 {
		rest = durationField("not_before_for", after)
	}
	if final {
		rest += flagField("give_up", true)
	}
	h.write("PUSH_BACK", id, rest)
}

// Fail writes the action REPORT_FAILURE.
func (h *host) Fail(id string) { h.write("REPORT_FAILURE", id, "") }

// Join writes the action ECHO.
func (h *host) Join(id string) { h.write("ECHO", id, "") }

// Stop writes the action TAKE_OFF.
func (h *host) Stop(id string) { h.write("TAKE_OFF", id, "") }

// Call writes the action ASK_BELOW.
func (h *host) Call(id string, timeout time.Duration) {
	h.write("ASK_BELOW", id, durationField("patience", timeout))
}

// SkipCall writes the action DO_WITHOUT.
func (h *host) SkipCall(id string) { h.write("DO_WITHOUT", id, "") }

// RememberKey writes the action STORE_KEY.
func (h *host) RememberKey(id string, d time.Duration) {
	h.write("STORE_KEY", id, durationField("hold_for", d))
}

// ForgetKey writes the action DROP_KEY.
func (h *host) ForgetKey(id string) { h.write("DROP_KEY", id, "") }

// Health writes the action REPORT_HEALTH.
func (h *host) Health(good bool) {
	h.server.writeLine(h.instanceID, "REPORT_HEALTH"+flagField("shallow", true)+flagField("enable", good))
}

// Signal writes the action PUBLISH.
func (h *host) Signal(value float64) {
	h.server.writeLine(h.instanceID, "PUBLISH\tamount="+strconv.FormatFloat(value, 'f', -1, 64))
}

// CloseIdle writes the action KEEPALIVE.
func (h *host) CloseIdle(after time.Duration) {
	h.server.writeLine(h.instanceID, "KEEPALIVE"+durationField("hold_for", after))
}

// Wake writes the action DEFER.
func (h *host) Wake(after time.Duration) {
	h.server.writeLine(h.instanceID, "DEFER"+durationField("span", after)+"\thandle=tick")
}

// Log writes the action NOTE_DOWN.
func (h *host) Log(text string) { h.server.writeLine(h.instanceID, "NOTE_DOWN\ttext="+oneLine(text)) }
