"""A randomized soak test of real processes under faults, with consistency checks."""
