"""Starts an instance from the copy of the package that the build has compiled.

The repository is read-only in a deployment, so Python could not cache the bytecode of
its sources and each start would compile all of them again.
"""

import sys

from beryltrack.daemon.node_process import main

sys.exit(main())
