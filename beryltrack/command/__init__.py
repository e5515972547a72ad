"""The operators' tool: changes settings, shows them and the fleet's status."""
