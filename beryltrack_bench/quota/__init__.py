"""Limits of accounts over a whole fleet, in simulated time: three ways compared."""
