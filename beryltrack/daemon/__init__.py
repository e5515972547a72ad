"""The proxy process: start, logs, metrics, health, status and shutdown."""
