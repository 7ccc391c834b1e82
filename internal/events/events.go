// Package events writes the structured log of servers and routers. Each event has a name and named fields, defined in the table
// Templates. A text log shows an event as a line of text; a JSON log shows it as an object with the same fields. docs/oncall.md
// describes each event and the response to it.
//
// The members of the group (internal/controlplane/quorum/member) and the processes that run controllers
// (internal/controlplane/runner) log with zerolog directly, under names of the same form (duty.*, group.*, placement.*, monitor.*,
// command.*).
package events

import (
	"fmt"
	"io"
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// Templates maps the name of each event to the template of its line in the text log. A field is written as {name} or, with a verb of
// package fmt, as {name:%.2f}. The name of a field is also its key in the JSON object.
var Templates = map[string]string{
	"loadreport.failed":          "load report not sent: {why}",
	"backstop":                   "backstop: {class} {request} reached its deadline {after} after it was read, without an answer from the module",
	"cells.map_rejected":         "cells: the old map holds, version {version}: {why}",
	"cells.map_active":           "cells: map version {version}, was {was}: {changes} changes",
	"exit":                       "exit",
	"proxy.server_health":        "proxy: server {server} is {health}",
	"listener.accept_failed":     "{front}: accepting: {why}",
	"listener.connection_closed": "{front}: closing the connection of {peer}: {why}",
	"guard.rejection":            "guard: the rejection of {request} was sent as a failure, because the request has run",
	"guard.run":                  "guard: {class} {request} was not run: {why}",
	"hotrestart.alone":           "hotrestart: no other process, was {was}",
	"hotrestart.incomplete":      "hotrestart: the other process is gone and what it ran is not all known: unknown keys fail for {left}",
	"hotrestart.failed":          "hotrestart: {why}",
	"hotrestart.full":            "hotrestart: two processes already run: waiting until one ends",
	"hotrestart.complete":        "hotrestart: {role}, all runs of the other process are known",
	"hotrestart.link_down":       "hotrestart: link down: {why}",
	"hotrestart.no_mark":         "hotrestart: a keyed request was not run: failed to write the mark: {why}",
	"hotrestart.limits_shared":   "hotrestart: processes that share the limits: {by}",
	"hotrestart.successor":       "hotrestart: the successor takes over",
	"hotrestart.unlinked":        "hotrestart: runs on without a link to the other process, which is there",
	"hotrestart.limits_unshared": "hotrestart: failed to share the limits: {why}",
	"interpreter.link_down":      "interpreter link down: {why}",
	"interpreter.link_up":        "interpreter link live again with {runs} runs",
	"interpreter.moved":          "interpreter moved from {from} to {to}",
	"interpreter.refused":        "interpreter refused {command} of {request}",
	"interpreter.restarted":      "interpreter restarted: {lost} runs lost",
	"interpreter.up":             "interpreter up: {state}, started {took_ms} ms ago",
	"shutdown":                   "told to leave: {signal}",
	"listening":                  "{front}: listening on {addr}",
	"listener.address_in_use":    "an address is taken, tried again for {left}: {why}",
	"admin.bad_request":          "admin: {status} to {peer}: {why}",
	"module":                     "module: {text}",
	"command.epoch_learned":      "command: {duty}: epoch {epoch}, step {step}, from the group",
	"command.rejected":           "admin: command rejected: {path}: {why}",
	"command.executed":           "command: {act} of {duty}, epoch {epoch}, step {step}: {why}",
	"phase":                      "phase {phase}",
	"admission.limit":            "admission: limit {limit:%.1f} of at most {ceiling:%.1f} runs, {belief}",
	"admission.memory":           "admission: memory {stage}: {booked:%.2f} booked, {own:%.2f} of the process's own",
	"admission.pool_starved":     "admission: pool {pool} is starved: {waiting} waiting, {used} of {floor:%.1f} runs of its floor",
	"reload.bad":                 "reload: the old configuration holds: {why}",
	"reload.differs":             "reload: {field}: differs, and holds only from the next start",
	"reload.done":                "reload: done",
	"reload.moved":               "reload: {what}: from {from} to {to}",
	"reload.pools":               "reload: pools: taken up",
	"reload.pools_bad":           "reload: the old pools hold: {why}",
	"reload.settings":            "reload: settings: taken up, {classes}",
	"config.active":              "config: active: {doc} {version}",
	"config.rejected":            "config: {doc} {version} rejected: {why}",
	"config.exclusive_resumed":   "config: exclusive work goes on: was {was} for {for}",
	"config.parts_stale":         "config: {doc}: what came does not follow, version {version} holds on: {why}",
	"config.exclusive_stopped":   "config: nothing that is exclusive begins: {why}, since {ago} ago",
	"config.poll_failed":         "config: failed to poll the group: {why}",
	"config.contradiction":       "config: version {version}: {documents}: nothing that is exclusive begins by either",
	"config.newer_seen":          "config: {newest} is newer than {was}, by {source}",
	"scgi.unread":                "{front}: {status} to {peer}: {why}",
	"snmp.reading":               "snmp: failed to read: {why}",
	"heartbeat.downtime":         "heartbeat: nothing that has an effect was begun for {for} at the least, by {evidence}",
	"heartbeat.failed":           "heartbeat: failed to write: idempotent requests do not start until a write succeeds: {why}",
	"heartbeat.unreadable":       "heartbeat: the last heartbeat is unreadable and is moved aside: {why}",
	"recovery.state":             "recovery: {state} after {after}: waits for {waits}",
	"store.rewritten":            "store: all records were rewritten and are durable: idempotent requests start again",
	"store.incomplete":           "store: the earlier runs are not all known: idempotent requests with unknown keys fail for {left}",
	"store.damaged":              "store: damaged: {why}",
	"store.failed":               "store: a write failed: no idempotent request starts until all records are rewritten: {why}",
	"store.loaded":               "store: {records} records taken up within {for}, from before the machine was switched on: {dark}",
	"store.result_lost":          "store: the result of {class} {request} was not kept, so the request fails: {why}",
	"upstream.broken":            "application server: request {request}: {why}",
	"upstream.unreachable":       "application server: {why}",
	"worker":                     "worker: no configuration: the built-in worker at {addr} echoes each request body",
}

// segment is a part of a template: literal text followed by one field. The last segment has no field, so its field name is empty.
type segment struct{ literal, field, verb string }

// templates holds the parsed Templates by event name.
var templates = func() map[string][]segment {
	parsed := map[string][]segment{}
	for name, text := range Templates {
		parsed[name] = parseTemplate(text)
	}
	return parsed
}()

// parseTemplate splits a template into its segments.
func parseTemplate(text string) (segments []segment) {
	for {
		literal, rest, found := strings.Cut(text, "{")
		if !found {
			return append(segments, segment{literal: literal})
		}
		field, after, _ := strings.Cut(rest, "}")
		name, verb, _ := strings.Cut(field, ":")
		if verb == "" {
			verb = "%v"
		}
		segments, text = append(segments, segment{literal, name, verb}), after
	}
}

// Fields returns the names of an event's fields, in the order in which Log expects their values.
func Fields(name string) (list []string) {
	for _, p := range templates[name] {
		if p.field != "" {
			list = append(list, p.field)
		}
	}
	return list
}

// JSONWriter writes a JSON log, one object per line. Log recognizes a log.Logger that writes to it.
type JSONWriter struct{ log zerolog.Logger }

// NewJSONWriter returns a JSONWriter that adds the name of the process and the time, in microseconds since 1970, to each line. It
// sets the time format of package zerolog for the whole process.
func NewJSONWriter(out io.Writer, process string) *JSONWriter {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	return &JSONWriter{zerolog.New(out).With().Timestamp().Str("process", process).Logger()}
}

// Write logs a line that is not an event of Templates, such as one that a library logs, as the event "text".
func (w *JSONWriter) Write(b []byte) (int, error) {
	w.log.Log().Str("event", "text").Str("text", strings.TrimSpace(string(b))).Send()
	return len(b), nil
}

// Log logs an event with the values of its fields, in the order of Fields. Packages of servers and routers call it instead of the
// methods of log.Logger. TestEvents checks these calls against Templates and docs/oncall.md.
func Log(l *log.Logger, name string, values ...any) {
	segments := templates[name]
	if w, ok := l.Writer().(*JSONWriter); ok {
		e := w.log.Log().Str("event", name)
		for i, p := range segments {
			if p.field != "" && i < len(values) {
				e = addField(e, p.field, values[i])
			}
		}
		e.Send()
		return
	}
	var b strings.Builder
	for i, p := range segments {
		b.WriteString(p.literal)
		if p.field != "" && i < len(values) {
			fmt.Fprintf(&b, p.verb, values[i])
		}
	}
	l.Print(b.String())
}

// addField adds a field to a JSON object. Integers and float64 values become JSON numbers; other values become their text form.
func addField(e *zerolog.Event, name string, v any) *zerolog.Event {
	switch v := v.(type) {
	case int:
		return e.Int(name, v)
	case int64:
		return e.Int64(name, v)
	case uint64:
		return e.Uint64(name, v)
	case float64:
		return e.Float64(name, v)
	}
	return e.Str(name, fmt.Sprint(v))
}
