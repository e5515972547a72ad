"""Small stand-ins for the systems that beryltrack serves, for tests and local runs."""
