"""Settings objects: versioned, validated, under one subtree of paths per team."""
