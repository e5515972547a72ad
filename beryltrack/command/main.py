"""The command line of the operators' tool."""

import json
import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.input import Input
from cleo.io.io import IO
from cleo.io.outputs.output import Output

from beryltrack.command.commands import COMMANDS
from beryltrack.command.report import ErrorReport, ExitCode
from beryltrack.command.runner import Runner, run_in_reactor
from beryltrack.json_form import to_json

VERSION = "0.1.0"


class OperatorsTool(Application):
    """The tool; usage errors and internal errors have exit codes of their own."""

    def run(
        self,
        input: Input | None = None,
        output: Output | None = None,
        error_output: Output | None = None,
    ) -> int:
        """Run the command line and return its exit code."""
        io = self.create_io(input, output, error_output)
        try:
            return super().run(io.input, io.output, io.error_output)
        except CleoError as error:
            return self._report(error, io, ExitCode.USAGE)
        except Exception as error:
            return self._report(error, io, ExitCode.INTERNAL)

    def _report(self, error: Exception, io: IO, code: ExitCode) -> ExitCode:
        """Print an error that was raised outside a command's report."""
        if io.input.has_parameter_option(["--json"]):
            outcome = {"outcome": code.name.lower()}
            value = ErrorReport(str(error) or type(error).__name__)
            io.write_line(json.dumps(outcome | to_json(value)))
        else:
            self.render_error(error, io)
        return code


def build_application(runner: Runner = run_in_reactor) -> Application:
    """Return the application with all its commands.

    Parameters
    ----------
    runner : Runner
        Runs the coroutine of a command.

    Returns
    -------
    Application
        The application; it returns exit codes instead of exiting.
    """
    application = OperatorsTool("beryltrack", VERSION)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command(runner))
    return application


def main() -> None:
    """Run the tool on the arguments of this process."""
    sys.exit(build_application().run())


if __name__ == "__main__":
    main()
