"""Starts an instance from the copy of the package that the build has compiled.

The repository is read-only where it is deployed, so that each start from its own
sources would compile all of them again.
"""

import sys

from beryltrack.daemon.node_process import main

sys.exit(main())
