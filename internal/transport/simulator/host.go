package simulator

import (
	"strconv"
	"time"
)

// host writes the actions of one instance.
type host struct {
	server     *server
	instanceID int64
}

// action writes an action on one request.
func (h *host) write(name, id, rest string) { h.server.writeLine(h.instanceID, name+"\tcorr="+id+rest) }

// durationField is a field with a time, in microseconds.
func durationField(field string, d time.Duration) string {
	return "\t" + field + "=" + strconv.FormatInt(d.Microseconds(), 10)
}

// flagField is a field with a bool.
func flagField(field string, v bool) string {
	if v {
		return "\t" + field + "=1"
	}
	return "\t" + field + "=0"
}

// Run is EXECUTE on the wire.
func (h *host) Run(id string) { h.write("EXECUTE", id, "") }

// Reject is PUSH_BACK on the wire.
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

// Fail is REPORT_FAILURE on the wire.
func (h *host) Fail(id string) { h.write("REPORT_FAILURE", id, "") }

// Join is ECHO on the wire.
func (h *host) Join(id string) { h.write("ECHO", id, "") }

// Stop is TAKE_OFF on the wire.
func (h *host) Stop(id string) { h.write("TAKE_OFF", id, "") }

// Call is ASK_BELOW on the wire.
func (h *host) Call(id string, timeout time.Duration) {
	h.write("ASK_BELOW", id, durationField("patience", timeout))
}

// SkipCall is DO_WITHOUT on the wire.
func (h *host) SkipCall(id string) { h.write("DO_WITHOUT", id, "") }

// RememberKey is STORE_KEY on the wire.
func (h *host) RememberKey(id string, d time.Duration) {
	h.write("STORE_KEY", id, durationField("hold_for", d))
}

// ForgetKey is DROP_KEY on the wire.
func (h *host) ForgetKey(id string) { h.write("DROP_KEY", id, "") }

// Health is REPORT_HEALTH on the wire.
func (h *host) Health(good bool) {
	h.server.writeLine(h.instanceID, "REPORT_HEALTH"+flagField("shallow", true)+flagField("enable", good))
}

// Signal is PUBLISH on the wire.
func (h *host) Signal(value float64) {
	h.server.writeLine(h.instanceID, "PUBLISH\tamount="+strconv.FormatFloat(value, 'f', -1, 64))
}

// CloseIdle is KEEPALIVE on the wire.
func (h *host) CloseIdle(after time.Duration) {
	h.server.writeLine(h.instanceID, "KEEPALIVE"+durationField("hold_for", after))
}

// Wake is DEFER on the wire.
func (h *host) Wake(after time.Duration) {
	h.server.writeLine(h.instanceID, "DEFER"+durationField("span", after)+"\thandle=tick")
}

// Log is NOTE_DOWN on the wire.
func (h *host) Log(text string) { h.server.writeLine(h.instanceID, "NOTE_DOWN\ttext="+oneLine(text)) }
