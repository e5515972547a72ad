"""Owners that limit what runs at a database, in simulated time."""
