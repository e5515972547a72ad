"""Client of the platform's service: its objects, watches and instance list."""
