package transfer

// idUse is the use of an ID by requests at servers.
type idUse struct {
	requests int
	shared   bool // several had it at once
}

// AddID records that a request with an ID is at a server. The returned function records that it is
// not any more.
func (s *Runs) AddID(id string) (remove func()) {
	if s == nil {
		return func() {}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	u := s.byID[id]
	if u == nil {
		u = &idUse{}
		s.byID[id] = u
	}
	u.requests++
	u.shared = u.shared || u.requests > 1
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if u.requests--; u.requests == 0 {
			delete(s.byID, id)
		}
	}
}

// UsesID reports whether a request with an ID is at a server.
func (s *Runs) UsesID(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byID[id] != nil
}

// SharedID reports whether several requests with an ID have been at servers at once. Servers cannot
// tell their runs and copies apart.
func (s *Runs) SharedID(id string) bool {
	if s == nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	u := s.byID[id]
	return u != nil && u.shared
}
