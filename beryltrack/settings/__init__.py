"""Settings: objects under paths, one subtree a team, checked and versioned."""
