"""One line for each decision that touches a request, within a budget."""
