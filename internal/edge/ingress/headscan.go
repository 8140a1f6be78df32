package ingress

import "bytes"

// headScan counts the lines of a request's head as it arrives: net/http makes a map entry, strings and
// slices of each line before it passes the request on. Its zero value is at the beginning of a head.
type headScan struct {
	lines  int // complete lines, the request line included and the blank one not
	length int // bytes of the current line
	cr     bool
	over   bool // the head is complete; what follows is a body
}

// add scans the next bytes of the connection.
func (s *headScan) add(p []byte) {
	for len(p) > 0 && !s.over {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			s.cr = s.length == 0 && len(p) == 1 && p[0] == '\r'
			s.length += len(p)
			return
		}
		empty := s.length+i == 0 || s.length+i == 1 && (s.cr || i == 1 && p[0] == '\r')
		if s.over = empty && s.lines > 0; s.over {
			return
		}
		s.lines++
		s.length, s.cr = 0, false
		p = p[i+1:]
	}
}

// headerLines returns the number of header lines up to now.
func (s *headScan) headerLines() int { return max(0, s.lines-1) }
