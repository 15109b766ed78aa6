package online

import (
	"net/http"

	"dandelionrelay/quarantine"
)

// reportCrash records the request as a suspect if the last endpoint, which closed the
// connection, is unreachable and so has probably crashed. The check runs concurrently
// with the next attempt.
func (ex *execution) reportCrash() {
	crash := quarantine.Crash{
		Digest:   quarantine.DigestOfCall(ex.call),
		Customer: ex.call.Customer,
		Request:  ex.call.ID,
		Endpoint: ex.endpoint.ID,

		Incarnation:    ex.endpoint.StartMs,
		PromptParts:    ex.call.PromptParts,
		HeaderReceived: ex.headerReceived,
		Events:         ex.response.events,
	}
	go quarantine.RecordIfUnreachable(ex.Suspects, ex.Pool, crash, ex.endpoint.Address)
}

// recordSoundParts records that the parts of the prompt are sound if the response shows it:
// it is complete, or long enough.
func (ex *execution) recordSoundParts(complete bool) {
	answered := complete && ex.response.status == http.StatusOK
	if answered || ex.response.events >= quarantine.MinSoundEvents {
		ex.Suspects.RecordSoundParts(ex.call.PromptParts)
	}
}

// clearSuspicion removes the crashes recorded against a request that has
// completed.
func (ex *execution) clearSuspicion() {
	if !ex.Suspects.Empty() {
		ex.Suspects.RecordSuccess(quarantine.DigestOfCall(ex.call))
	}
}
