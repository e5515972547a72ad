"""Parsing of a caller's start-up packet, and the parameters reported in response."""

import re
import shlex
from typing import NamedTuple

from pygwire.messages import StartupMessage

from beryltrack.errors import (
    FEATURE_NOT_SUPPORTED,
    INVALID_AUTHORIZATION,
    INVALID_PARAMETER_VALUE,
    PROTOCOL_VIOLATION,
    SqlError,
    make_fatal_error,
)

# Server parameters that drivers read at start-up. The targets' values may differ only
# in the version; the proxy requests the other values from its targets.
REPORTED_PARAMETERS = {
    "server_version": "16.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "IntervalStyle": "postgres",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "is_superuser": "off",
    "in_hot_standby": "off",
}

_ENCODINGS = frozenset({"utf8", "unicode"})
_OWN_KEYS = frozenset({"user", "database", "options", "replication"})
# Protocol extensions are optional: callers continue if the proxy declines them.
_EXTENSION_PREFIX = "_pq_."
_SETTING = re.compile(r"(?P<name>[\w.\-]+)=(?P<value>.*)", re.DOTALL)


class StartupRequest(NamedTuple):
    """Contents of a start-up packet.

    Parameters
    ----------
    user : str
        Name of the user.
    database : str
        Name of the database; the user's name if none is given.
    settings : dict of str to str
        Session settings by lower-case name.
    extensions : tuple of str
        Requested protocol extensions, none of which the proxy supports.
    """

    user: str
    database: str
    settings: dict[str, str]
    extensions: tuple[str, ...]


def parse_startup(message: StartupMessage) -> tuple[StartupRequest, SqlError | None]:
    """Parse a start-up packet; return its contents and the first error, if any."""
    params = message.params
    user = params.get("user", "")
    options, error = parse_options(params.get("options", ""))
    plain = {
        name.lower(): value
        for name, value in params.items()
        if name not in _OWN_KEYS and not name.startswith(_EXTENSION_PREFIX)
    }
    extensions = tuple(name for name in params if name.startswith(_EXTENSION_PREFIX))
    settings = plain | options
    database = params.get("database") or user
    request = StartupRequest(user, database, settings, extensions)
    return request, error or _check(request, params)


def _check(request: StartupRequest, params: dict[str, str]) -> SqlError | None:
    """Return the error in the values of a start-up packet, or None."""
    if not request.user:
        return make_fatal_error(
            INVALID_AUTHORIZATION, "no user name in the start-up packet"
        )
    if params.get("replication", "false") not in ("false", "off", "no", "0"):
        return make_fatal_error(
            FEATURE_NOT_SUPPORTED, "replication connections are not supported"
        )
    encoding = request.settings.get("client_encoding", "UTF8")
    if encoding.strip("'\"").replace("-", "").lower() not in _ENCODINGS:
        text = f"client_encoding {encoding!r} is not supported; use UTF8"
        return make_fatal_error(INVALID_PARAMETER_VALUE, text)
    return None


def parse_options(text: str) -> tuple[dict[str, str], SqlError | None]:
    """Parse the start-up parameter ``options``.

    Parameters
    ----------
    text : str
        Arguments ``-c name=value``, ``-cname=value`` or ``--name=value``; a backslash
        escapes the next character.

    Returns
    -------
    settings : dict of str to str
        The settings by lower-case name.
    error : SqlError or None
        The first error, if any.
    """
    lexer = shlex.shlex(text, posix=True)
    lexer.whitespace_split = True
    lexer.quotes = lexer.commenters = ""
    try:
        arguments = list(lexer)
    except ValueError as fault:
        return {}, make_fatal_error(PROTOCOL_VIOLATION, f"malformed options: {fault}")
    settings: dict[str, str] = {}
    while arguments:
        argument = arguments.pop(0)
        if argument == "-c" and arguments:
            argument = arguments.pop(0)
        elif argument.startswith("--"):
            argument = argument[2:]
        elif argument.startswith("-c"):
            argument = argument[2:]
        else:
            return settings, _make_option_error(argument)
        match = _SETTING.fullmatch(argument)
        if match is None:
            return settings, _make_option_error(argument)
        settings[match["name"].replace("-", "_").lower()] = match["value"]
    return settings, None


def _make_option_error(argument: str) -> SqlError:
    """Return the error of an argument that is not a valid setting."""
    text = f"invalid command-line argument for server process: {argument[:80]}"
    return make_fatal_error(PROTOCOL_VIOLATION, text)
