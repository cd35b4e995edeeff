package swap

import "time"

// countRestingReplicas finds the models that only resting targets hold. They need a
// replica elsewhere if that is ready before the first of these rests ends.
func (d *decider) countRestingReplicas() {
	d.restEndsIn = make(map[string]time.Duration)

	for i := range d.Targets {
		t := &d.Targets[i]
		if !t.Serving || t.RestEndsIn == 0 {
			continue
		}

		for _, r := range t.Resident {
			d.uncounted[replica{t.ID, r.Model}] = true

			if d.replicas[r.Model] > 0 {
				continue
			}

			if first, known := d.restEndsIn[r.Model]; !known || t.RestEndsIn < first {
				d.restEndsIn[r.Model] = t.RestEndsIn
			}
		}
	}
}
