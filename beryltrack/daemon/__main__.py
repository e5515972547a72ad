"""Runs the daemon as ``python -m beryltrack.daemon``."""

from beryltrack.daemon.main import main

main()
