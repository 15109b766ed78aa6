package limit

// logTake logs the answer to an ask of another entry that names its request.
func (s *Service) logTake(a TakeArgs, r *TakeReply) {
	if a.Request == "" {
		return
	}
	s.Logger.Debug().Str("request", a.Request).Str("customer", a.Customer).Int("share", a.Share).
		Bool("held", r.Held).Float64("tokens", r.Amount).Msg("tokens asked for")
}
