"""Load patterns run against the deciders of `beryltrack.load` in simulated time."""
