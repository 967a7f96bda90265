package burner

// rateSlot names the statements of an organisation in one slot.
type rateSlot struct {
	organisation string
	start        int64
}

// usage is what an organisation asked for in one slot, over all hosts.
type usage struct {
	admitted, overRate float64
	seconds            int64
}

// withinRate returns, for each organisation and slot, the share of the
// statements refused as over the rate that the rate would have covered had all
// hosts shared it without delay. The burst is left out, so the share never
// counts as wrongful what the rate alone did not cover.
func withinRate(in Input) map[rateSlot]float64 {
	used := map[rateSlot]*usage{}
	for _, p := range in.Pages {
		for _, s := range p.Slots {
			for _, n := range s.Counts {
				key := rateSlot{n.Organisation, s.Start}
				if used[key] == nil {
					used[key] = &usage{seconds: p.SlotSeconds}
				}
				used[key].add(n)
			}
		}
	}
	shares := map[rateSlot]float64{}
	for key, u := range used {
		o, ok := in.State.Organisations[key.organisation]
		if !ok || u.overRate == 0 {
			continue
		}
		free := o.Rate*float64(u.seconds) - u.admitted
		shares[key] = min(1, max(0, free/u.overRate))
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
