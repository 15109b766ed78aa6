package jobs

import "dandelionrelay/api"

// logItem logs what happened to an attempt at an item.
func (s *Service) logItem(ref api.WorkRef, endpoint, message string) {
	event := s.opts.Logger.Debug()
	if !event.Enabled() {
		return
	}
	event.Str("request", ref.ItemID()).Str("endpoint", endpoint).Msg(message)
}

// logAsk logs a question of another entry that names its request.
func (s *Service) logQuery(request, method string) {
	if request != "" {
		s.opts.Logger.Debug().Str("request", request).Str("method", method).Msg("jobs asked for")
	}
}
