"""Run as ``python -m beryltrack_bench``."""

from beryltrack_bench.main import main

if __name__ == "__main__":
    main()
