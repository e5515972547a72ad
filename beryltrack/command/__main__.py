"""Runs the operators' tool as ``python -m beryltrack.command``."""

from beryltrack.command.main import main

main()
