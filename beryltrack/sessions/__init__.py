"""Sessions: tokens that travel with the caller, and the marks of a request."""
