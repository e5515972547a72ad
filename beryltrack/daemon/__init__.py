"""The processes of an instance: start, logs, metrics, health, status and shutdown."""
