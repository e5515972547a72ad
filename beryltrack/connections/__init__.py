"""Connections to targets: pools, and connection budgets across all proxies."""
