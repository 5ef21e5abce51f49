package capacity

// Measure runs all measurements one after the other, in about a minute. It calls progress
// with each line as soon as it is fitted. On an error it returns the lines so far.
func Measure(progress func(Slope)) ([]Slope, error) {
	var all []Slope
	for _, measure := range []func() ([]Slope, error){
		configCost,
		rateCost,
		waitingCost,
		pollCost,
		idleCost,
		directCost,
		requestCost,
	} {
		slopes, err := measure()
		if err != nil {
			return all, err
		}
		for _, s := range slopes {
			progress(s)
		}
		all = append(all, slopes...)
	}
	return all, nil
}
