"""Load patterns against the deciders of `beryltrack.load`, in simulated time."""
