package scgi

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"silverpath"
	"silverpath/internal/core"
)

// mapRequest converts a received message to a request of the core. Its error is a *rejection for an unknown class or for the first
// invalid header.
func (f *Front) mapRequest(m message, now time.Time, peer net.Addr) (core.Request, error) {
	class, known := f.class(m.headers)
	if !known {
		return core.Request{}, &rejection{"404 Not Found", fmt.Sprintf("no class %q", class.Name), "unknown_class"}
	}
	q := core.Request{
		Front: Name, ID: f.newID(), Class: class.Name, Tenant: f.cfg.Tenant, MemoryKB: f.cfg.RequestKB,
		ReceivedAt: now, Body: m.body, Key: m.headers[headerKey],
	}
	if t := m.headers[headerTenant]; t != "" {
		q.Tenant = t
	}
	if len(q.Tenant) > maxTenantBytes {
		return core.Request{}, invalidHeader(m.headers, headerTenant)
	}
	if len(q.Key) > maxKeyBytes {
		return core.Request{}, invalidHeader(m.headers, headerKey)
	}
	timeout, err := f.timeout(m.headers, class)
	if err != nil {
		return core.Request{}, err
	}
	q.Deadline = now.Add(timeout)
	if v, ok := m.headers[headerCaller]; !ok {
		q.Caller = callerFromAddr(m.headers["REMOTE_ADDR"], peer)
	} else if q.Caller, err = strconv.Atoi(v); err != nil || q.Caller < 0 {
		return core.Request{}, invalidHeader(m.headers, headerCaller)
	}
	if v, ok := m.headers[headerRank]; ok {
		if q.Rank, err = strconv.ParseFloat(v, 64); err != nil || !(q.Rank >= 0 && q.Rank < 1) {
			return core.Request{}, invalidHeader(m.headers, headerRank)
		}
	}
	return q, nil
}

// timeout returns how long the caller waits after its request was read: the value of its header, else scgi.deadline_ms, else the
// deadline of its class.
func (f *Front) timeout(headers map[string]string, class silverpath.Class) (time.Duration, error) {
	v, ok := headers[headerTimeout]
	switch {
	case ok:
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return 0, invalidHeader(headers, headerTimeout)
		}
		return time.Duration(ms) * time.Millisecond, nil
	case f.cfg.Deadline > 0:
		return f.cfg.Deadline, nil
	}
	return class.Deadline, nil
}

// invalidHeader returns the rejection of a request whose header of the given name is malformed or out of bounds.
func invalidHeader(headers map[string]string, name string) error {
	return &rejection{"400 Bad Request", fmt.Sprintf("%s is %q", name, headers[name]), "bad_header"}
}

// statusPath is the path that returns the state of the service if the settings enable it and no class is named "status".
const statusPath = "/status"

// isStatusRequest reports whether a request asks for the state of the service.
func (f *Front) isStatusRequest(h map[string]string) bool {
	if h["PATH_INFO"] != statusPath || h[headerClass] != "" || !f.core.ServesStatus() {
		return false
	}
	_, known := f.core.Class(statusPath[1:])
	return !known
}

// class returns the class of a request and whether it exists. The class is named by the header, else by the first segment of the path,
// else by the settings. For an unknown class only Name is set.
func (f *Front) class(h map[string]string) (silverpath.Class, bool) {
	name := h[headerClass]
	if name == "" {
		path := h["PATH_INFO"]
		if path == "" {
			path, _, _ = strings.Cut(h["REQUEST_URI"], "?")
		}
		name, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	}
	if name == "" {
		name = f.cfg.Class
	}
	class, known := f.core.Class(name)
	if !known {
		class.Name = name
	}
	return class, known
}

// callerFromAddr derives a caller number from the address of the caller. If addr is empty it uses the address of the connection's peer,
// which is the web server.
func callerFromAddr(addr string, peer net.Addr) int {
	if addr == "" && peer != nil {
		addr, _, _ = net.SplitHostPort(peer.String())
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, addr)
	return int(h.Sum32() >> 1)
}
