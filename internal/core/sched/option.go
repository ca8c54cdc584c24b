package sched

// Option changes how a scheduler decides. The zero set of options is what runs
// in production; the others serve as baselines.
type Option func(*optionSet)

// optionSet is what the options set.
type optionSet struct {
	noReclaim    bool
	noBackfill   bool
	noUrgentLead bool
}

// WithoutReclaim never stops work to make room for other work.
func WithoutReclaim() Option {
	return func(d *optionSet) { d.noReclaim = true }
}

// WithoutBackfill places nothing while a gang that goes before it waits.
func WithoutBackfill() Option {
	return func(d *optionSet) { d.noBackfill = true }
}

// WithoutClasses orders jobs by their submission alone.
func WithoutClasses() Option {
	return func(d *optionSet) { d.noUrgentLead = true }
}
