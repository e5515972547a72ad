"""A randomized soak of real processes: faults from outside, promises checked inside."""
