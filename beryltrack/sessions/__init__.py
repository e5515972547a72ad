"""Sessions: tokens that callers carry, settings, retained state, request options."""
