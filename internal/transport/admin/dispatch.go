package admin

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"silverpath/internal/events"
)

// calls are what may be called for: by which method, who does it, and the status of an answer that says no.
var calls = map[string]struct {
	method string
	do     func(Operator) (bool, string)
	no     status
}{
	"/api/ready":    {"GET", Operator.Ready, 503},
	"/api/evacuate": {"POST", Operator.Evacuate, 409},
	"/api/rejoin":   {"POST", Operator.Rejoin, 409},
}

// dispatch makes a call and answers what became of it.
func (s *Server) dispatch(conn net.Conn, c call) {
	k, known := calls[c.path]
	if c.path == "/api/snapshot" && s.snapshot != nil {
		k.method, k.no, known = "POST", 503, true
		k.do = func(Operator) (bool, string) {
			path, err := s.snapshot()
			if err != nil {
				return false, err.Error()
			}
			return true, path
		}
	}
	if !known {
		s.reject(conn, &rejection{404, "unknown_path", "no such call"})
		return
	}
	if c.method != k.method {
		s.reject(conn, &rejection{405, "wrong_method", "call it with " + k.method}, "Allow: "+k.method)
		return
	}
	perform := func() (bool, string) { return k.do(s.op) }
	// A call without a query is an operator's by hand and passes no fence; so does every call where no orders are set up.
	if s.commands != nil && k.method == "POST" && c.query != "" && c.path != "/api/snapshot" {
		var bad *rejection
		if perform, bad = s.asCommand(c, perform); bad != nil {
			s.reject(conn, bad)
			return
		}
	}
	done, message := perform()
	code, outcome := status(200), "yes"
	if !done {
		code, outcome = k.no, "no"
	}
	s.stats.Inc("calls", Name, strings.TrimPrefix(c.path, "/api/"), outcome)
	s.write(conn, code, message)
}

// asCommand has a call that is a command of the fleet taken as one: it names the controller, its epoch and its step.
func (s *Server) asCommand(c call, perform func() (bool, string)) (func() (bool, string), *rejection) {
	q, err := url.ParseQuery(c.query)
	bad := &rejection{400, "malformed", "an order has duty, epoch and step"}
	if err != nil || q.Get("duty") == "" {
		return nil, bad
	}
	epoch, err := strconv.ParseUint(q.Get("epoch"), 10, 64)
	if err != nil {
		return nil, bad
	}
	step, err := strconv.ParseUint(q.Get("step"), 10, 64)
	if err != nil {
		return nil, bad
	}
	return func() (bool, string) {
		done, message := s.commands.Execute(strings.TrimPrefix(c.path, "/api/"), q.Get("duty"), epoch, step, perform)
		s.stats.Inc("orders", map[bool]string{true: "taken", false: "refused"}[done])
		if !done {
			events.Log(s.log, "command.rejected", c.path, message)
		}
		return done, message
	}, nil
}

// reject answers a call that is not made.
func (s *Server) reject(conn net.Conn, p *rejection, headers ...string) {
	s.stats.Inc("bad_call", Name, p.counter)
	s.mu.Lock()
	logIt := time.Since(s.badCallLoggedAt) >= badCallLogInterval
	if logIt {
		s.badCallLoggedAt = time.Now()
	}
	s.mu.Unlock()
	if logIt {
		events.Log(s.log, "admin.bad_request", int(p.code), conn.RemoteAddr(), p.message)
	}
	s.write(conn, p.code, p.message, headers...)
}

// write writes an answer: a status, and one line that says why.
func (s *Server) write(conn net.Conn, code status, why string, headers ...string) {
	b := fmt.Appendf(make([]byte, 0, 256), "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n",
		code, reasons[code], len(why)+1)
	for _, h := range headers {
		b = append(append(b, h...), "\r\n"...)
	}
	b = fmt.Appendf(b, "\r\n%s\n", why)
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(b); err != nil {
		s.stats.Inc("write_failed", Name)
	}
}
