"""Failover: loss detection, elections by grants, promotion, planned hand-over."""
