"""Starts an instance from the copy of the package that the build has compiled.

The repository is read-only in a deployment, so Python could not cache the bytecode of
its sources and each start would compile all of them again.
"""

import signal
import sys

# Until the process can handle it, a hangup would end it. The settings are read later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from beryltrack.daemon.node_process import main  # noqa: E402

sys.exit(main())
