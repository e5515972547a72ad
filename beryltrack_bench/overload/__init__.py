"""Overload: real pools, budgets, admission and retries over small fakes."""
