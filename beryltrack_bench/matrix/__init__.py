"""The fault matrix: each fault injected at each step of each procedure."""
