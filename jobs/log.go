package jobs

import "dandelionrelay/api"

// logItem logs an event of an attempt at an item, at debug level.
func (s *Service) logItem(ref api.WorkRef, endpoint, message string) {
	event := s.opts.Logger.Debug()
	if !event.Enabled() {
		return
	}
	event.Str("request", ref.RequestID()).Str("endpoint", endpoint).Msg(message)
}

// logCall logs an RPC from another entry, at debug level, if it carries the ID
// of the request that it is made for.
func (s *Service) logCall(request, method string) {
	if request != "" {
		s.opts.Logger.Debug().Str("request", request).Str("method", method).Msg("jobs call received")
	}
}
