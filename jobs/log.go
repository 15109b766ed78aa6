package jobs

import "dandelionrelay/api"

// logItem logs an event of an attempt at an item.
func (s *Service) logItem(ref api.WorkRef, endpoint, message string) {
	event := s.opts.Logger.Debug()
	if !event.Enabled() {
		return
	}
	event.Str("request", ref.RequestID()).Str("endpoint", endpoint).Msg(message)
}

// logCall logs a call of another entry that carries the ID of the request it
// is made for.
func (s *Service) logCall(request, method string) {
	if request != "" {
		s.opts.Logger.Debug().Str("request", request).Str("method", method).Msg("jobs call received")
	}
}
