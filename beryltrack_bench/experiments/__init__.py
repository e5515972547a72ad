"""The experiments, one module each; see `beryltrack_bench.main`."""
