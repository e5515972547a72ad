"""Failover: detection of a lost primary, grants, promotion, hand-over."""
