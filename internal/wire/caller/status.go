package caller

import (
	"net/http"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// statuses maps codes to HTTP statuses. What is missing is 503.
var statuses = map[request.Code]int{
	request.BadRequest:     http.StatusBadRequest,
	request.KeyMissing:     http.StatusBadRequest,
	request.Unauthorized:   http.StatusUnauthorized,
	request.NotAllowed:     http.StatusForbidden,
	request.PlanRemoved:    http.StatusForbidden,
	request.UnknownModel:   http.StatusNotFound,
	request.KeyConflict:    http.StatusConflict,
	request.InDoubt:        http.StatusConflict,
	request.TooLarge:       http.StatusRequestEntityTooLarge,
	request.Limited:        http.StatusTooManyRequests,
	request.DeadlinePassed: http.StatusGatewayTimeout,
}

// Status returns the HTTP status of a refusal.
func Status(r *request.Refusal) int {
	if s, ok := statuses[r.Code]; ok {
		return s
	}

	return http.StatusServiceUnavailable
}
