package comfreygateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Headers of the interface for callers.
const (
	HeaderRequestID = "Comfrey-Request-Id"
	HeaderVerdict   = "Comfrey-Verdict"
	HeaderReason    = "Comfrey-Reason"
	HeaderTimeout   = "Comfrey-Timeout"
)

// Refusal is the JSON body of a refusal or failure. The fields message, type
// and code follow the OpenAI-style error object.
type Refusal struct {
	Error RefusalDetail `json:"error"`
}

// RefusalDetail describes why a request ended and whether it may have run.
type RefusalDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	Verdict   string `json:"verdict"`
	Reason    string `json:"reason"`
	RequestID string `json:"request-id"`
	// RetryAfterSeconds is the retry-after in whole seconds; 0 means that there is
	// none.
	RetryAfterSeconds int `json:"retry-after-seconds,omitempty"`
}

func refusalOf(e comfreyverdict.Error, requestID string) Refusal {
	return Refusal{Error: RefusalDetail{
		Message:           e.Error(),
		Type:              refusalType(e),
		Code:              string(e.Reason),
		Verdict:           e.Verdict.String(),
		Reason:            string(e.Reason),
		RequestID:         requestID,
		RetryAfterSeconds: retryAfterSeconds(e.RetryAfter),
	}}
}

func refusalType(e comfreyverdict.Error) string {
	if statusOf(e.Reason) < http.StatusInternalServerError {
		return "invalid_request_error"
	}
	return "server_error"
}

// statusByReason maps reasons to HTTP statuses. All other reasons have status
// 503.
var statusByReason = map[comfreyverdict.Reason]int{
	comfreyverdict.ReasonBadRequest:         http.StatusBadRequest,
	comfreyverdict.ReasonUnauthorized:       http.StatusUnauthorized,
	comfreyverdict.ReasonUnknownService:     http.StatusNotFound,
	comfreyverdict.ReasonUnknownGeneration:  http.StatusNotFound,
	comfreyverdict.ReasonForeignGeneration:  http.StatusNotFound,
	comfreyverdict.ReasonReplayWindowPassed: http.StatusGone,
	comfreyverdict.ReasonBodyTooLarge:       http.StatusRequestEntityTooLarge,
	comfreyverdict.ReasonCustomerLimit:      http.StatusTooManyRequests,
	comfreyverdict.ReasonDuplicateRequest:   http.StatusConflict,
	comfreyverdict.ReasonSuspectRequest:     http.StatusUnprocessableEntity,
	comfreyverdict.ReasonDeadline:           http.StatusGatewayTimeout,
	comfreyverdict.ReasonEngineFailed:       http.StatusBadGateway,
	comfreyverdict.ReasonEngineRefused:      http.StatusBadGateway,
	comfreyverdict.ReasonConnectionLost:     http.StatusBadGateway,
	comfreyverdict.ReasonMalformedAnswer:    http.StatusBadGateway,
	comfreyverdict.ReasonInternal:           http.StatusInternalServerError,
}

func statusOf(r comfreyverdict.Reason) int {
	if s, ok := statusByReason[r]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// retryAfterSeconds rounds up, so that a caller never retries too early.
func retryAfterSeconds(d time.Duration) int {
	if d <= 0 {
		return 0
	}
	return int((d + time.Second - 1) / time.Second)
}

// writeRefusal writes a refusal as the response. It must not be called after
// the response header was written.
func writeRefusal(w http.ResponseWriter, e comfreyverdict.Error, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderVerdict, e.Verdict.String())
	h.Set(HeaderReason, string(e.Reason))
	if s := retryAfterSeconds(e.RetryAfter); s > 0 {
		h.Set("Retry-After", strconv.Itoa(s))
	}
	w.WriteHeader(statusOf(e.Reason))
	_ = json.NewEncoder(w).Encode(refusalOf(e, requestID))
	_ = http.NewResponseController(w).Flush()
}
