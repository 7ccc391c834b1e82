package msgpackrpc

import (
	"strconv"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/policy/configstore"
)

// respondToProbe answers a health check. A router says with it by which document it goes and with which times, and is told what
// this server has heard of that document from others, and its share while this server warms up.
func (c *client) respondToProbe(m message) {
	var fields []string
	if id := m.fields[FieldConfigID]; id != "" {
		ms := func(key string) time.Duration {
			n, _ := strconv.ParseInt(m.fields[key], 10, 64)
			return time.Duration(max(0, min(n, maxTerm.Milliseconds()))) * time.Millisecond
		}
		c.core.ObserveRules(id, m.fields[FieldConfigSource], configstore.Terms{
			Lease: ms(FieldLease), ClockSkew: ms(FieldClockSkew), ProbeInterval: ms(FieldProbeInterval),
			ProbeTimeout: ms(FieldProbeTimeout), OverlapWindow: ms(FieldOverlapWindow),
		})
		fields = rulesFields(c.core.RulesNotice())
		inFlight, _ := strconv.Atoi(m.fields[FieldInFlight])
		if share, warming := c.core.SlowStart(m.fields[FieldConfigSource], inFlight, SlowStartProbeIntervals*max(ms(FieldProbeInterval), time.Millisecond)); warming {
			fields = append(fields, FieldSlowStartShare, strconv.Itoa(share))
		}
	}
	c.write(func(b []byte) []byte { return appendHealth(b, m.id, c.core.Health(), c.withServerState(fields)) })
}

// rulesFields are the fields of an answer to a router's probe that tell what this server has observed of the rules.
func rulesFields(notice core.RulesNotice) (pairs []string) {
	if notice.Newest != "" {
		pairs = append(pairs, FieldConfigID, notice.Newest, FieldConfigSource, notice.Source)
	}
	if notice.Conflict != "" {
		pairs = append(pairs, FieldConflict, strconv.Itoa(notice.ConflictVersion)+" "+notice.Conflict)
	}
	if notice.SuspendedFor > 0 {
		pairs = append(pairs, FieldSuspended, strconv.FormatInt(notice.SuspendedFor.Milliseconds(), 10))
	}
	return pairs
}

// withServerState appends what every answer tells of this server: the module's signal, where it has set one, and in a cell its
// incarnation and how recent that is.
func (c *client) withServerState(pairs []string) []string {
	if v, ok := c.core.Signal(); ok {
		pairs = append(pairs, FieldSignal, strconv.FormatFloat(v, 'f', -1, 64))
	}
	if incarnation, inCell := c.core.StartStamp(); inCell {
		pairs = append(pairs, FieldIncarnation, strconv.FormatInt(incarnation, 10))
		if c.core.Cold() {
			pairs = append(pairs, FieldWarmingUp, FlagSet)
		}
		if lastRun := c.core.UnknownRunsUntil(); lastRun != 0 {
			pairs = append(pairs, FieldUnknownRuns, strconv.FormatInt(lastRun, 10))
		}
	}
	return pairs
}

// respond writes the answer of a request in flight. One that was cancelled gets none: its message id may be another request's by
// now, which would take the answer for its own.
func (c *client) respond(id uint64, requestID string, a core.Answer) {
	c.mu.Lock()
	pending := c.pending[id] == requestID
	if pending {
		delete(c.pending, id)
		c.writingAnswers++ // until it is written the connection is not idle
	}
	c.mu.Unlock()
	if !pending {
		return
	}
	c.reply(id, a)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingAnswers--
	c.slot.SetInFlight(len(c.pending) + c.writingAnswers)
}

// reply writes an answer.
func (c *client) reply(id uint64, a core.Answer) {
	c.write(func(b []byte) []byte { return appendAnswer(b, id, a, c.withServerState(nil)) })
}

// appendAnswer appends an answer with its fields, given as name and value in turn.
func appendAnswer(b []byte, id uint64, a core.Answer, fields []string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(response)), id)
	switch a.Outcome {
	case core.Served:
		b = appendArray(appendNil(b), 2)
		return appendFields(appendBin(b, a.Body), fields)
	case core.Rejected:
		if a.RetryAfter > 0 {
			fields = append(fields, FieldRetryAfter, strconv.FormatInt(max(1, a.RetryAfter.Milliseconds()), 10))
		}
		if a.Final {
			fields = append(fields, FieldFinal, FlagSet)
		}
		if a.Reason != "" {
			fields = append(fields, FieldReason, a.Reason)
		}
		b = appendText(appendArray(b, 2), ErrorFull)
	default:
		b = appendText(appendArray(b, 2), errorFailed)
	}
	return appendNil(appendFields(b, fields))
}

// appendHealth appends the answer to a probe.
func appendHealth(b []byte, id uint64, healthy bool, fields []string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(response)), id)
	return appendFields(appendBool(appendArray(appendNil(b), 2), healthy), fields)
}
