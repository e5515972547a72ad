"""The operators' tool against a stand-in platform on real sockets."""

import json
import random
from contextlib import contextmanager
from typing import NamedTuple

from cleo.testers.application_tester import ApplicationTester
from twisted.internet import reactor

from beryltrack.command.fetch import build_fetch
from beryltrack.command.main import build_application
from beryltrack.command.runner import CommandContext
from beryltrack.objects.client import PlatformClient
from beryltrack_standins.platform.limits import PlatformOptions
from beryltrack_standins.platform.server import PlatformServer
from tests.reactor_thread import run

OPTIONS = PlatformOptions(list_lag=0.0)


class Outcome(NamedTuple):
    """The exit code and the output of a run of the tool."""

    code: int
    text: str
    error: str

    @property
    def json(self):
        """The printed JSON object."""
        return json.loads(self.text)


class ToolSite:
    """A stand-in platform and the tool that calls it."""

    def __init__(self, platform):
        self.platform = platform

    def fault(self, fault, value=None):
        """Set a fault of the platform."""
        run(self.platform.set_fault, fault, value)

    def call(self, arguments, inputs=None):
        """Run the tool in the reactor that the platform runs in."""
        tester = ApplicationTester(build_application(run_action))
        url = self.platform.url
        code = tester.execute(f"{arguments} --platform {url}", inputs=inputs)
        return Outcome(code, tester.io.fetch_output(), tester.io.fetch_error())

    def call_json(self, arguments, inputs=None):
        """Run the tool and return its exit code and JSON object."""
        outcome = self.call(f"{arguments} --json", inputs)
        return outcome.code, outcome.json

    def write(self, path, value):
        """Write an object without the tool."""
        return run(self.platform.store.put, path, value, None)


def run_action(platform_url, action):
    """Run an action of the tool in the tests' reactor."""

    async def act():
        client = PlatformClient(reactor, platform_url, random.Random(1), timeout=1.0)
        context = CommandContext(
            reactor, client, build_fetch(reactor), random.Random(1)
        )
        try:
            return await action(context)
        finally:
            await client.close()

    return run(act)


@contextmanager
def running_tool():
    """Start a platform and stop it at the end."""
    platform = PlatformServer(reactor, OPTIONS)
    run(platform.start)
    try:
        yield ToolSite(platform)
    finally:
        run(platform.stop)
