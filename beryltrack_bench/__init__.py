"""Experiments and load against the stand-ins."""
