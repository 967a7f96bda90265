package burner

// organisationSlot identifies the statements of an organisation in one slot.
type organisationSlot struct {
	organisation string
	start        int64
}

// usage counts the statements of an organisation in one slot over all hosts.
type usage struct {
	admitted, overRate float64
	seconds            int64
}

// coveredShares returns, for each organisation and slot, the fraction of the
// statements refused as over the rate that the rate would have covered if all
// hosts had shared it without delay. The burst is not included, so statements
// that only the burst would have covered never count as wrongly refused.
func coveredShares(in Input) map[organisationSlot]float64 {
	used := map[organisationSlot]*usage{}
	for _, p := range in.Pages {
		for _, s := range p.Slots {
			for _, n := range s.Counts {
				key := organisationSlot{n.Organisation, s.Start}
				if used[key] == nil {
					used[key] = &usage{seconds: p.SlotSeconds}
				}
				used[key].add(n)
			}
		}
	}
	shares := map[organisationSlot]float64{}
	for key, u := range used {
		o, ok := in.State.Organisations[key.organisation]
		if !ok || u.overRate == 0 {
			continue
		}
		unused := o.Rate*float64(u.seconds) - u.admitted
		shares[key] = min(1, max(0, unused/u.overRate))
	}
	return shares
}

func (u *usage) add(n Count) {
	switch n.Outcome {
	case OutcomeOverRate:
		u.overRate += float64(n.Statements)
	case OutcomeServed, OutcomeSlow, OutcomeFailed:
		u.admitted += float64(n.Statements)
	}
}
