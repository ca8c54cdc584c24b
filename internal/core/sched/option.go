package sched

// Option disables a part of the scheduling policy. Production uses no options;
// they exist to build baselines for benchmarks.
type Option func(*optionSet)

// optionSet holds the parts of the scheduling policy that options disable.
type optionSet struct {
	noReclaim    bool
	noBackfill   bool
	noUrgentLead bool
}

// WithoutReclaim disables stopping running gangs to free capacity for others.
func WithoutReclaim() Option {
	return func(o *optionSet) { o.noReclaim = true }
}

// WithoutBackfill places no gang while one that ranks ahead of it waits.
func WithoutBackfill() Option {
	return func(o *optionSet) { o.noBackfill = true }
}

// WithoutClasses ranks jobs by submission time alone.
func WithoutClasses() Option {
	return func(o *optionSet) { o.noUrgentLead = true }
}
