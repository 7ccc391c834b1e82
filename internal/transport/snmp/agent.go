package snmp

import (
	"context"
	"errors"
	"fmt"
	"log"
	"maps"
	"net"
	"slices"
	"syscall"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/lifecycle"
)

// mibRoot is the root of the MIB. It is below the enterprise number that RFC 5612 reserves for documentation, as long as the operator
// has no number of its own.
var mibRoot = oid{1, 3, 6, 1, 4, 1, 32473, 1}

// The objects of the MIB. docs/SILVERPATH-MIB.txt defines them.
var (
	objectName           = mibRoot.child(1, 1, 0)
	objectPhase          = mibRoot.child(1, 2, 0)
	objectUpTime         = mibRoot.child(1, 3, 0)
	objectPendingAnswers = mibRoot.child(1, 4, 0)
	objectHealth         = mibRoot.child(1, 5, 0)
	columnCounters       = mibRoot.child(2, 1, 2)
	objectLimit          = mibRoot.child(4, 1, 0)
	objectCeiling        = mibRoot.child(4, 2, 0)
	objectRunning        = mibRoot.child(4, 3, 0)
	objectMemory         = mibRoot.child(4, 4, 0)
	poolEntry            = mibRoot.child(4, 5, 1)
)

const (
	version2c        = 1
	maxResponseBytes = 1400 // fits in one packet on any path
	maxCounterName   = 100  // bytes of a counter name that are used as a table index
	maxRepetitions   = 200

	statusTooBig      = 1
	statusNotWritable = 17
)

// Source supplies the state that an agent reports in addition to counters. The core of a service and a member of the quorum group
// implement it. Its methods must not block.
type Source interface {
	Health() bool
	Phase() lifecycle.State
	PendingAnswers() int
	View() core.View
}

// Agent answers SNMPv2c requests at one address.
type Agent struct {
	conn      net.PacketConn
	community string
	name      string
	source    Source
	stats     *metrics.Counters
	log       *log.Logger
	startedAt time.Time
}

// Listen returns an agent that listens on a UDP address. If control is not nil, it is called on the socket before it is bound. The
// caller must call Serve or Close.
func Listen(addr, community, name string, c Source, l *log.Logger, s *metrics.Counters,
	control func(network, addr string, raw syscall.RawConn) error) (*Agent, error) {
	conn, err := (&net.ListenConfig{Control: control}).ListenPacket(context.Background(), "udp", addr)
	if err != nil {
		return nil, err
	}
	return &Agent{conn: conn, community: community, name: name, source: c, stats: s, log: l, startedAt: time.Now()}, nil
}

// Addr returns the address that the agent listens on.
func (a *Agent) Addr() net.Addr { return a.conn.LocalAddr() }

// Close closes the socket, which ends Serve.
func (a *Agent) Close() { a.conn.Close() }

// Serve answers requests until Close is called. Malformed messages and those with another version or community are counted and, as the
// protocol requires, get no response.
func (a *Agent) Serve() {
	b := make([]byte, 64<<10)
	for {
		n, peer, err := a.conn.ReadFrom(b)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				events.Log(a.log, "snmp.reading", err)
				time.Sleep(100 * time.Millisecond)
				continue
			}
			return
		}
		reply, reason := a.respond(b[:n])
		if reply == nil {
			a.stats.Inc("snmp", reason)
			continue
		}
		a.stats.Inc("snmp", "answered")
		if _, err := a.conn.WriteTo(reply, peer); err != nil {
			a.stats.Inc("snmp", "write_failed")
		}
	}
}

// request is a decoded request message.
type request struct {
	pduType        byte
	id             int32
	nonRepeaters   int32 // GetBulk: the number of leading names that are looked up once
	maxRepetitions int32 // GetBulk: how often each other name is looked up
	names          []oid
	community      string
}

// parse decodes a message. The version is 0-based, as in the protocol, so that SNMPv2c is 1. The error wraps errMalformed.
func parse(b []byte) (q request, version int32, err error) {
	fail := func(err error) (request, int32, error) { return request{}, version, err }
	b, _, err = expectElement(b, tagSequence)
	if err != nil {
		return fail(err)
	}
	if version, b, err = expectInteger(b); err != nil {
		return fail(err)
	}
	community, b, err := expectElement(b, tagString)
	if err != nil {
		return fail(err)
	}
	q.community = string(community)
	pdu, _, err := nextElement(b)
	if err != nil {
		return fail(err)
	}
	q.pduType, b = pdu.tag, pdu.body
	for _, n := range []*int32{&q.id, &q.nonRepeaters, &q.maxRepetitions} {
		if *n, b, err = expectInteger(b); err != nil {
			return fail(err)
		}
	}
	if b, _, err = expectElement(b, tagSequence); err != nil {
		return fail(err)
	}
	for len(b) > 0 {
		var bind []byte
		if bind, b, err = expectElement(b, tagSequence); err != nil {
			return fail(err)
		}
		name, rest, err := expectOID(bind)
		if err != nil {
			return fail(err)
		}
		if _, _, err := nextElement(rest); err != nil {
			return fail(err)
		}
		q.names = append(q.names, name)
	}
	return q, version, nil
}

// respond returns the response to a message. Without a response, reason is the name of the counter for the cause.
func (a *Agent) respond(b []byte) (reply []byte, reason string) {
	q, version, err := parse(b)
	switch {
	case err != nil:
		return nil, "malformed"
	case version != version2c:
		return nil, "bad_version"
	case q.community != a.community:
		return nil, "bad_community"
	}
	var binds [][]byte
	objects := a.objects()
	switch q.pduType {
	case tagGet:
		for _, name := range q.names {
			binds = append(binds, get(objects, name))
		}
	case tagGetNext:
		for _, name := range q.names {
			bind, _ := getNext(objects, name)
			binds = append(binds, bind)
		}
	case tagGetBulk:
		binds = getBulk(objects, q)
	case tagSet:
		return q.response(statusNotWritable, min(1, len(q.names)), q.nullBindings()), ""
	default:
		return nil, "bad_request"
	}
	for {
		reply := q.response(0, 0, binds)
		switch {
		case len(reply) <= maxResponseBytes:
			return reply, ""
		case q.pduType != tagGetBulk || len(binds) == 0:
			return q.response(statusTooBig, 0, nil), ""
		}
		binds = binds[:len(binds)*3/4]
	}
}

// nullBindings returns the variable bindings of the request with null values.
func (q request) nullBindings() [][]byte {
	var binds [][]byte
	for _, name := range q.names {
		binds = append(binds, varBind(name, appendElement(nil, tagNull, nil)))
	}
	return binds
}

// response encodes a response to the request. Status is the error status, and index the 1-based position of the binding that caused the
// error, or 0.
func (q request) response(status, index int, binds [][]byte) []byte {
	pdu := appendInteger(nil, q.id)
	pdu = appendInteger(appendInteger(pdu, int32(status)), int32(index))
	pdu = appendElement(pdu, tagSequence, slices.Concat(binds...))
	m := appendElement(appendInteger(nil, version2c), tagString, []byte(q.community))
	return appendElement(nil, tagSequence, appendElement(m, tagResponse, pdu))
}

// object is one object instance of the MIB with its encoded value.
type object struct {
	name  oid
	value []byte
}

// varBind encodes the variable binding of a name and an encoded value.
func varBind(name oid, value []byte) []byte {
	return appendElement(nil, tagSequence, append(appendOID(nil, name), value...))
}

// compare compares the name of an object with a name, for binary searches.
func compare(o object, name oid) int { return o.name.compare(name) }

// get returns the binding of a name to the value of its object. If there is no such object, the value is noSuchInstance or noSuchObject.
func get(objects []object, name oid) []byte {
	if i, found := slices.BinarySearchFunc(objects, name, compare); found {
		return varBind(name, objects[i].value)
	}
	for _, o := range objects { // a name below a known object lacks only the instance
		if parent := o.name[:len(mibRoot)+2]; len(name) >= len(parent) && name[:len(parent)].compare(parent) == 0 {
			return varBind(name, appendElement(nil, tagNoSuchInstance, nil))
		}
	}
	return varBind(name, appendElement(nil, tagNoSuchObject, nil))
}

// getNext returns the binding of the first object after a name in lexicographic order, and the name of that object. After the last object
// the value is endOfMibView and the returned name is nil.
func getNext(objects []object, name oid) ([]byte, oid) {
	i, found := slices.BinarySearchFunc(objects, name, compare)
	if found {
		i++
	}
	if i == len(objects) {
		return varBind(name, appendElement(nil, tagEndOfMibView, nil)), nil
	}
	return varBind(objects[i].name, objects[i].value), objects[i].name
}

// getBulk returns the bindings of a GetBulk request: one getNext for each of the first q.nonRepeaters names, and up to
// q.maxRepetitions successive ones for each other name. It stops once there are more than maxRepetitions bindings.
func getBulk(objects []object, q request) [][]byte {
	var binds [][]byte
	nonRepeaters := min(len(q.names), int(max(0, q.nonRepeaters)))
	for _, name := range q.names[:nonRepeaters] {
		bind, _ := getNext(objects, name)
		binds = append(binds, bind)
	}
	names := slices.Clone(q.names[nonRepeaters:])
	for range min(maxRepetitions, max(0, q.maxRepetitions)) {
		anyLeft := false
		for i, name := range names {
			bind, next := getNext(objects, name)
			if binds = append(binds, bind); next != nil {
				names[i], anyLeft = next, true
			}
			if len(binds) > maxRepetitions {
				return binds
			}
		}
		if !anyLeft {
			break
		}
	}
	return binds
}

// objects returns the current objects of the whole MIB, sorted by name.
func (a *Agent) objects() []object {
	health := int32(2) // TruthValue of SNMPv2-TC: 1 is true, 2 is false
	if a.source.Health() {
		health = 1
	}
	list := []object{
		{objectName, appendElement(nil, tagString, []byte(a.name))},
		{objectPhase, appendInteger(nil, int32(a.source.Phase())+1)},
		{objectUpTime, appendUnsigned(nil, tagTimeTicks, uint64(time.Since(a.startedAt)/(10*time.Millisecond))&(1<<32-1))},
		{objectPendingAnswers, appendUnsigned(nil, tagGauge32, uint64(max(0, a.source.PendingAnswers())))},
		{objectHealth, appendInteger(nil, health)},
	}
	counters := a.stats.Snapshot()
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		if len(name) > maxCounterName {
			name = name[:maxCounterName] // bounds the length of an index; no existing counter name reaches it
			if _, twice := counters[name]; twice {
				continue
			}
		}
		index := columnCounters
		for _, c := range []byte(name) {
			index = index.child(uint32(c))
		}
		list = append(list, object{index, appendUnsigned(nil, tagCounter64, counters[name])})
	}
	list = append(list, a.poolObjects()...)
	slices.SortFunc(list, func(x, y object) int { return x.name.compare(y.name) })
	return list
}

// poolObjects returns the objects of the run limit and of the pools, or nil if the service has no pools.
func (a *Agent) poolObjects() []object {
	state := a.source.View().Pools
	if state == nil {
		return nil
	}
	gauge := func(v float64) []byte { return appendUnsigned(nil, tagGauge32, uint64(max(0, v))) }
	truthValue := map[bool]int32{true: 1, false: 2} // of SNMPv2-TC
	list := []object{
		{objectLimit, gauge(100 * state.RunLimit)}, {objectCeiling, gauge(100 * state.Ceiling)},
		{objectRunning, gauge(float64(state.Running))}, {objectMemory, appendInteger(nil, int32(state.Memory)+1)},
	}
	for i, p := range state.Pools {
		for column, value := range [][]byte{
			appendElement(nil, tagString, []byte(p.Name)), gauge(float64(p.Running)), gauge(float64(p.Queued)),
			gauge(100 * p.Entitlement), appendUnsigned(nil, tagCounter64, p.Started), appendUnsigned(nil, tagCounter64, p.Borrowed),
			appendUnsigned(nil, tagCounter64, p.Rejected), appendInteger(nil, truthValue[p.Starving]),
		} {
			list = append(list, object{poolEntry.child(uint32(column+2), uint32(i+1)), value})
		}
	}
	return list
}

// String returns the identifier in dotted notation with a leading dot.
func (o oid) String() string {
	s := ""
	for _, n := range o {
		s += fmt.Sprintf(".%d", n)
	}
	return s
}
