"""Overload simulation: the product's pools, budgets, admission and retries on fakes."""
