package peer

import (
	"net/netip"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// TargetInfo is a router.TargetInfo on the wire.
type TargetInfo struct {
	_ struct{} `cbor:",toarray"`

	ID          string
	DataCentre  string
	Address     string
	Speed       float64
	Memory      int64
	Held        int64
	Slots       int
	Running     int
	Waiting     int
	ReportAgeMs int64
	Leaving     bool
	Down        bool
	Incarnation string
	Software    string
}

// Replica is a router.Replica on the wire.
type Replica struct {
	_ struct{} `cbor:",toarray"`

	Target string
	Model  string
}

// Wait is a router.Wait on the wire.
type Wait struct {
	_ struct{} `cbor:",toarray"`

	Model        string
	ReadyMs      int64
	Reason       string
	RetryAfterMs int64
	Waiting      int
}

// Snapshot is a router.Snapshot on the wire.
type Snapshot struct {
	_ struct{} `cbor:",toarray"`

	Cell    int
	Holder  string
	Token   uint64
	Number  uint64
	Base    uint64
	Targets []TargetInfo
	Gone    []string
	Added   []Replica
	Removed []Replica
	Waits   []Wait
}

// FromSnapshot maps a snapshot to the wire.
func FromSnapshot(s *router.Snapshot) Snapshot {
	out := Snapshot{
		Cell:    s.Cell,
		Holder:  string(s.Holder),
		Token:   s.Token,
		Number:  s.Number,
		Base:    s.Base,
		Gone:    fromIDs(s.RemovedTargets),
		Added:   fromReplicas(s.Added),
		Removed: fromReplicas(s.Removed),
	}

	for _, t := range s.Targets {
		out.Targets = append(out.Targets, TargetInfo{
			ID:          string(t.ID),
			DataCentre:  string(t.DataCentre),
			Address:     t.Address.String(),
			Speed:       t.Speed,
			Memory:      t.Memory,
			Held:        t.ReservedMemory,
			Slots:       t.Slots,
			Running:     t.Running,
			Waiting:     t.Waiting,
			ReportAgeMs: t.ReportAge.Milliseconds(),
			Leaving:     t.Leaving,
			Down:        t.Down,
			Incarnation: t.Incarnation,
			Software:    string(t.Software),
		})
	}

	for _, w := range s.Waits {
		out.Waits = append(out.Waits, Wait{
			Model:        w.Model,
			ReadyMs:      w.Ready.Milliseconds(),
			Reason:       w.Reason,
			RetryAfterMs: w.RetryAfter.Milliseconds(),
			Waiting:      w.Waiting,
		})
	}

	return out
}

// ToSnapshot maps a snapshot from the wire.
func ToSnapshot(s Snapshot) (*router.Snapshot, error) {
	out := &router.Snapshot{
		Cell:           s.Cell,
		Holder:         instance.ID(s.Holder),
		Token:          s.Token,
		Number:         s.Number,
		Base:           s.Base,
		RemovedTargets: toIDs(s.Gone),
		Added:          toReplicas(s.Added),
		Removed:        toReplicas(s.Removed),
	}

	for _, t := range s.Targets {
		addr, err := netip.ParseAddrPort(t.Address)
		if err != nil {
			return nil, err
		}

		out.Targets = append(out.Targets, router.TargetInfo{
			ID:             instance.ID(t.ID),
			DataCentre:     instance.DataCentre(t.DataCentre),
			Address:        addr,
			Speed:          t.Speed,
			Memory:         t.Memory,
			ReservedMemory: t.Held,
			Slots:          t.Slots,
			Running:        t.Running,
			Waiting:        t.Waiting,
			ReportAge:      milliseconds(t.ReportAgeMs),
			Leaving:        t.Leaving,
			Down:           t.Down,
			Incarnation:    t.Incarnation,
			Software:       instance.Software(t.Software),
		})
	}

	for _, w := range s.Waits {
		out.Waits = append(out.Waits, router.Wait{
			Model:      w.Model,
			Ready:      milliseconds(w.ReadyMs),
			Reason:     w.Reason,
			RetryAfter: milliseconds(w.RetryAfterMs),
			Waiting:    w.Waiting,
		})
	}

	return out, nil
}

func fromReplicas(all []router.Replica) []Replica {
	out := make([]Replica, len(all))
	for i, r := range all {
		out[i] = Replica{Target: string(r.Target), Model: r.Model}
	}

	return out
}

func toReplicas(all []Replica) []router.Replica {
	out := make([]router.Replica, len(all))
	for i, r := range all {
		out[i] = router.Replica{Target: instance.ID(r.Target), Model: r.Model}
	}

	return out
}
