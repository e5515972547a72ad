"""Many real nodes in one process, for the experiments on the whole fleet."""
