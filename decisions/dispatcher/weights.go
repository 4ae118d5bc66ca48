package dispatcher

import "filbertstile.example/filbertstile"

// fullPercent is the whole capacity.
const fullPercent = 100

// tierWeights returns the shares of the capacity while all tiers have work, by tier. Tiers whose
// weights give them less than their floors get their floors, and the others divide the rest by
// their weights.
func tierWeights(tiers []filbertstile.Tier) map[string]float64 {
	out := make(map[string]float64, len(tiers))
	raised := make(map[string]bool)
	for {
		// To raise a tier leaves less for the others, which may then be below their floors.
		weights, percent := 0, fullPercent
		for _, t := range tiers {
			if raised[t.Name] {
				percent -= t.FloorPercent
			} else {
				weights += t.Weight
			}
		}
		// Floors of 100 percent must not shut the other tiers out.
		weights, percent = max(1, weights), max(1, percent)
		more := false
		for _, t := range tiers {
			switch {
			case raised[t.Name]:
				out[t.Name] = float64(t.FloorPercent) * float64(weights) / float64(percent)
			case t.Weight*percent < t.FloorPercent*weights:
				raised[t.Name], more = true, true
			default:
				out[t.Name] = float64(t.Weight)
			}
		}
		if !more {
			return out
		}
	}
}

// weight returns a tier's share of the capacity while all tiers have work.
func (c *Core) weight(t filbertstile.Tier) float64 { return max(1, c.weights[t.Name]) }
