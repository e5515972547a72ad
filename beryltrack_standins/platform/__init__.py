"""A stand-in for the platform: the object API and the instance list over HTTP."""
