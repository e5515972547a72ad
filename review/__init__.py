"""An independent review: cases that show faults, and their stand-ins."""
