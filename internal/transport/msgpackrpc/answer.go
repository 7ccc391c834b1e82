package msgpackrpc

import (
	"strconv"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/policy/configstore"
)

// respondToProbe answers a health check. A router's probe names the configuration document that the router applies and the times of that
// document. The answer to it has the newest document that this server has observed and, during the slow start, the number of requests
// that the router may have in flight here.
func (c *frontConn) respondToProbe(m message) {
	var fields []string
	if id := m.fields[FieldConfigID]; id != "" {
		ms := func(key string) time.Duration {
			n, _ := strconv.ParseInt(m.fields[key], 10, 64)
			return time.Duration(max(0, min(n, maxProbeTime.Milliseconds()))) * time.Millisecond
		}
		c.core.ObserveRules(id, m.fields[FieldConfigSource], configstore.Terms{
			Lease: ms(FieldLease), ClockSkew: ms(FieldClockSkew), ProbeInterval: ms(FieldProbeInterval),
			ProbeTimeout: ms(FieldProbeTimeout), OverlapWindow: ms(FieldOverlapWindow),
		})
		fields = rulesFields(c.core.RulesNotice())
		inFlight, _ := strconv.Atoi(m.fields[FieldInFlight])
		if quota, warming := c.core.SlowStartQuota(m.fields[FieldConfigSource], inFlight, SlowStartProbeIntervals*max(ms(FieldProbeInterval), time.Millisecond)); warming {
			fields = append(fields, FieldSlowStartQuota, strconv.Itoa(quota))
		}
	}
	c.write(func(b []byte) []byte { return appendHealth(b, m.id, c.core.Health(), c.withServerState(fields)) })
}

// rulesFields returns the fields of a probe's answer that report which configuration documents this server has observed.
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

// withServerState appends the fields that every answer has: the module's signal, if it has set one, and in a cell the server's
// incarnation, whether it is in its slow start, and until when an earlier process may have run requests that are unknown here.
func (c *frontConn) withServerState(pairs []string) []string {
	if v, ok := c.core.Signal(); ok {
		pairs = append(pairs, FieldSignal, strconv.FormatFloat(v, 'f', -1, 64))
	}
	if incarnation, inCell := c.core.StartStamp(); inCell {
		pairs = append(pairs, FieldIncarnation, strconv.FormatInt(incarnation, 10))
		if c.core.Cold() {
			pairs = append(pairs, FieldSlowStart, FlagSet)
		}
		if lastRun := c.core.UnknownRunsUntil(); lastRun != 0 {
			pairs = append(pairs, FieldUnknownRuns, strconv.FormatInt(lastRun, 10))
		}
	}
	return pairs
}

// respond writes the answer of a request in flight. A cancelled request gets no answer: the peer may have reused its message id, and
// would take the answer for that of the later request.
func (c *frontConn) respond(id uint64, requestID string, a core.Answer) {
	c.mu.Lock()
	pending := c.pending[id] == requestID
	if pending {
		delete(c.pending, id)
		c.writingAnswers++ // the connection is not idle until the answer is written
	}
	c.mu.Unlock()
	if !pending {
		return
	}
	c.writeAnswer(id, a)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingAnswers--
	c.slot.SetInFlight(len(c.pending) + c.writingAnswers)
}

// writeAnswer writes an answer with the fields of withServerState.
func (c *frontConn) writeAnswer(id uint64, a core.Answer) {
	c.write(func(b []byte) []byte { return appendAnswer(b, id, a, c.withServerState(nil)) })
}

// appendAnswer encodes an answer. Fields holds alternating names and values.
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
		b = appendStr(appendArray(b, 2), ErrorFull)
	default:
		b = appendStr(appendArray(b, 2), errorFailed)
	}
	return appendNil(appendFields(b, fields))
}

// appendHealth encodes the answer to a probe. Fields holds alternating names and values.
func appendHealth(b []byte, id uint64, healthy bool, fields []string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(response)), id)
	return appendFields(appendBool(appendArray(appendNil(b), 2), healthy), fields)
}
