package relay

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// The results of predictions, in metrics.
const (
	predictedRight = "right"
	predictedEarly = "early"
	predictedLate  = "late"
)

// minPredictionError is the difference up to which a prediction counts as right. It is
// about the delay of the reports that predictions are based on.
const minPredictionError = 250 * time.Millisecond

// predictionResult says how a predicted wait turned out. It is right within the factor by
// which requests are refused, early if the request started before, and late if it started
// after that.
func predictionResult(predicted, waited time.Duration) string {
	switch {
	case (waited - predicted).Abs() <= minPredictionError:
		return predictedRight
	case waited > dispatch.PredictionSpread*predicted:
		return predictedLate
	case dispatch.PredictionSpread*waited < predicted:
		return predictedEarly
	}

	return predictedRight
}

// addPrediction returns a function that adds a predicted wait, if there was one, to a log
// line, beside the time that the request waited.
func (d *delivery) addPrediction(waited time.Duration) func(*zerolog.Event) {
	return func(line *zerolog.Event) {
		if predicted := d.req.PredictedWait; predicted > 0 {
			line.Dur("waited", waited).Dur("predicted", predicted)
		}
	}
}

// recordPrediction records how the prediction turned out for a request that was queued,
// if there was one.
func (d *delivery) recordPrediction(result func(predicted time.Duration) string) {
	if predicted := d.req.PredictedWait; d.Metrics != nil && predicted > 0 {
		d.Metrics.Tagged(map[string]string{"result": result(predicted)}).Counter("predictions").Inc(1)
	}
}

// recordRefusal counts a refusal by its reason and adds the prediction that it is based on
// to the log line.
func (d *delivery) recordRefusal(line *zerolog.Event, err error) {
	var refusal *request.Refusal
	if !errors.As(err, &refusal) {
		return
	}

	reason := string(refusal.Code)

	if p := refusal.Prediction; p.StartsPerSecond > 0 {
		reason = "predicted"

		line.Dur("predicted", p.Start).Int("waitingAll", p.Waiting).Float64("startsPerSecond", p.StartsPerSecond)
	}

	if d.Metrics != nil {
		d.Metrics.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
	}

	if refusal.Code == request.DeadlineUnreachable && d.waited > minPredictionError {
		d.recordPrediction(func(time.Duration) string { return predictedLate })
	}
}
