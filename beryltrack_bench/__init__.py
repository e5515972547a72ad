"""Experiments, fault injection and load tests against fakes and stand-ins."""
