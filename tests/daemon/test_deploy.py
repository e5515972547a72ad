"""The deployment lists each package that an instance needs."""

import subprocess
import sys
from importlib.metadata import packages_distributions
from pathlib import Path

ROOT = Path(__file__).parents[2]

# Imports all modules of an instance, with all other packages hidden.
IMPORT_WITH = """
import sys

class Hidden:
    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in {hidden!r}:
            raise ModuleNotFoundError(name)

sys.meta_path.insert(0, Hidden())
import beryltrack.daemon.node_process
from twisted.internet import reactor
import beryltrack.daemon.node
"""


def read_names(path):
    lines = (ROOT / path).read_text().splitlines()
    return {line.partition("==")[0].lower().replace("_", "-") for line in lines}


def test_all_packages_that_an_instance_imports_are_listed():
    listed = read_names("deploy/requirements.txt")
    hidden = {
        module
        for module, names in packages_distributions().items()
        if not listed & {name.lower().replace("_", "-") for name in names}
        and module != "beryltrack"
    }
    assert "pytest" in hidden
    ran = subprocess.run(
        (sys.executable, "-c", IMPORT_WITH.format(hidden=hidden)),
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert ran.returncode == 0, ran.stderr


def test_deployed_versions_are_the_tested_ones():
    pinned = (ROOT / "requirements.txt").read_text().splitlines()
    deployed = (ROOT / "deploy/requirements.txt").read_text().splitlines()
    assert set(deployed) <= set(pinned)
