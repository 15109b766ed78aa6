package limit

// logTake logs the reply to a take call of another entry that carries a
// request ID.
func (s *Service) logTake(a TakeArgs, r *TakeReply) {
	if a.Request == "" {
		return
	}
	s.Logger.Debug().Str("request", a.Request).Str("customer", a.Customer).Int("share", a.Share).
		Bool("held", r.Held).Float64("tokens", r.Amount).Msg("limit: take call handled")
}
