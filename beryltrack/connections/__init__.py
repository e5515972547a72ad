"""Connections to targets: pools, and budgets that all proxies keep together."""
