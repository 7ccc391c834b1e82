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

// endpoints has the method and the handler of each path, and the status of the response if the handler returns false.
var endpoints = map[string]struct {
	method        string
	handle        func(Operator) (bool, string)
	failureStatus status
}{
	"/api/ready":    {"GET", Operator.Ready, 503},
	"/api/evacuate": {"POST", Operator.Evacuate, 409},
	"/api/rejoin":   {"POST", Operator.Rejoin, 409},
}

// dispatch executes a request and writes the response.
func (s *Server) dispatch(conn net.Conn, req request) {
	endpoint, known := endpoints[req.path]
	if req.path == "/api/snapshot" && s.snapshot != nil {
		endpoint.method, endpoint.failureStatus, known = "POST", 503, true
		endpoint.handle = func(Operator) (bool, string) {
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
	if req.method != endpoint.method {
		s.reject(conn, &rejection{405, "wrong_method", "call it with " + endpoint.method}, "Allow: "+endpoint.method)
		return
	}
	perform := func() (bool, string) { return endpoint.handle(s.op) }
	// A request without a query comes from an operator and bypasses the fence. Without commands, every request does.
	if s.commands != nil && endpoint.method == "POST" && req.query != "" && req.path != "/api/snapshot" {
		var rejected *rejection
		if perform, rejected = s.fencedCommand(req, perform); rejected != nil {
			s.reject(conn, rejected)
			return
		}
	}
	done, message := perform()
	code, outcome := status(200), "yes"
	if !done {
		code, outcome = endpoint.failureStatus, "no"
	}
	s.stats.Inc("calls", Name, strings.TrimPrefix(req.path, "/api/"), outcome)
	s.write(conn, code, message)
}

// fencedCommand returns a function that executes a request as a fenced command. The query has to name the controller, its epoch and its
// step; else fencedCommand returns a rejection.
func (s *Server) fencedCommand(req request, perform func() (bool, string)) (func() (bool, string), *rejection) {
	query, err := url.ParseQuery(req.query)
	malformed := &rejection{400, "malformed", "an order has duty, epoch and step"}
	if err != nil || query.Get("duty") == "" {
		return nil, malformed
	}
	epoch, err := strconv.ParseUint(query.Get("epoch"), 10, 64)
	if err != nil {
		return nil, malformed
	}
	step, err := strconv.ParseUint(query.Get("step"), 10, 64)
	if err != nil {
		return nil, malformed
	}
	return func() (bool, string) {
		done, message := s.commands.Execute(strings.TrimPrefix(req.path, "/api/"), query.Get("duty"), epoch, step, perform)
		s.stats.Inc("orders", map[bool]string{true: "taken", false: "refused"}[done])
		if !done {
			events.Log(s.log, "command.rejected", req.path, message)
		}
		return done, message
	}, nil
}

// reject counts, logs and answers a request that is not executed.
func (s *Server) reject(conn net.Conn, r *rejection, headers ...string) {
	s.stats.Inc("bad_call", Name, r.counter)
	s.mu.Lock()
	shouldLog := time.Since(s.rejectionLoggedAt) >= rejectionLogInterval
	if shouldLog {
		s.rejectionLoggedAt = time.Now()
	}
	s.mu.Unlock()
	if shouldLog {
		events.Log(s.log, "admin.bad_request", int(r.code), conn.RemoteAddr(), r.message)
	}
	s.write(conn, r.code, r.message, headers...)
}

// write writes a response with a status and a one-line message as the body.
func (s *Server) write(conn net.Conn, code status, message string, headers ...string) {
	b := fmt.Appendf(make([]byte, 0, 256), "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n",
		code, reasonPhrases[code], len(message)+1)
	for _, h := range headers {
		b = append(append(b, h...), "\r\n"...)
	}
	b = fmt.Appendf(b, "\r\n%s\n", message)
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(b); err != nil {
		s.stats.Inc("write_failed", Name)
	}
}
