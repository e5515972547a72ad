"""The options that operators can set, each with its meaning, unit and bounds.

These tables are the single source of the schemas (`beryltrack.settings.schema`)
and of the reference page docs/SETTINGS.md (`beryltrack.settings.reference`), so
that the three cannot differ.
"""

import enum
from typing import NamedTuple


class OptionKind(enum.Enum):
    """Type of an option's JSON value; the text describes it on the reference page."""

    TEXT = "text"
    INTEGER = "integer"
    NUMBER = "number"
    FLAG = "true or false"
    ENDPOINT = "object with host (IP address) and port"
    TABLE = "list of objects"
    NUMBERS = "list of numbers"


class Required(enum.Enum):
    """Marks an option that has no default."""

    REQUIRED = "required"


REQUIRED = Required.REQUIRED


class Option(NamedTuple):
    """One option.

    Parameters
    ----------
    name : str
        Key in the JSON object.
    kind : OptionKind
        Type of its value.
    doc : str
        What it does, in whole sentences, for the reference page.
    default : object
        Value if it is omitted; `REQUIRED` if it must be given. None makes
        ``null`` a valid value too.
    unit : str
        Unit of a number, else empty.
    minimum, maximum : float or None
        Inclusive bounds of a number, of each number of a list, of the length of a
        text or of a list of objects, or of the port of an endpoint.
    choices : tuple of str
        The allowed values of a text; empty for any.
    pattern : str
        Regular expression that a text must match; empty for any.
    secret : bool
        True if findings must not show the value.
    columns : tuple of Option
        Options of each object in a table.
    """

    name: str
    kind: OptionKind
    doc: str
    default: object = REQUIRED
    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    pattern: str = ""
    secret: bool = False
    columns: tuple["Option", ...] = ()


class OptionTable(NamedTuple):
    """All options of one kind of settings object.

    Parameters
    ----------
    kind : str
        Third part of the object's path, for example ``groups``.
    doc : str
        What one object of the kind describes, for the reference page.
    options : tuple of Option
        Its options.
    """

    kind: str
    doc: str
    options: tuple[Option, ...]


# \Z instead of "$", which would also match before a newline at the end.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z"
MAX_TEXT_LENGTH = 1000
"""Maximum length of a text, characters."""

MAX_AGE_LIMIT = 86400.0
"""Maximum staleness that reads can accept, seconds."""

MAX_DATABASES = 9
MAX_SEEDS = 64

DATABASE_OPTIONS = (
    Option(
        "name",
        OptionKind.TEXT,
        "Name of the database, unique in its group.",
        pattern=NAME_PATTERN,
    ),
    Option(
        "endpoint",
        OptionKind.ENDPOINT,
        "Address at which the database listens.",
        minimum=1,
    ),
    Option(
        "zone",
        OptionKind.TEXT,
        "Its availability zone. Proxies prefer replicas of their own zone.",
        pattern=NAME_PATTERN,
    ),
    Option(
        "max_connections",
        OptionKind.INTEGER,
        "Maximum number of connections to the database from all proxies together.",
        unit="connections",
        minimum=1,
        maximum=10000,
    ),
    Option(
        "slots",
        OptionKind.INTEGER,
        "Number of statements that the database runs concurrently.",
        default=3,
        unit="statements",
        minimum=1,
        maximum=10000,
    ),
    Option(
        "draining",
        OptionKind.FLAG,
        "True stops new work on the database. If it is the primary, another "
        "database takes over first (planned hand-over).",
        default=False,
    ),
)

GROUPS = OptionTable(
    "groups",
    "One database group. The object's name is the database name that callers "
    "connect to; it must be unique among all teams.",
    (
        Option(
            "databases",
            OptionKind.TABLE,
            "Members of the group. An odd number of at least three tolerates the "
            "loss of one.",
            minimum=1,
            maximum=MAX_DATABASES,
            columns=DATABASE_OPTIONS,
        ),
        Option(
            "user",
            OptionKind.TEXT,
            "User with which proxies log on to the databases.",
            minimum=1,
            maximum=63,
        ),
        Option(
            "password",
            OptionKind.TEXT,
            "That user's password. Empty if the databases trust the proxies.",
            default="",
            maximum=MAX_TEXT_LENGTH,
            secret=True,
        ),
        Option(
            "max_age",
            OptionKind.NUMBER,
            "Staleness that reads accept unless a rule or the caller sets "
            "another. Zero: reads see all acknowledged writes.",
            default=0,
            unit="seconds",
            minimum=0,
            maximum=MAX_AGE_LIMIT,
        ),
        Option(
            "lost_after",
            OptionKind.NUMBER,
            "Time without a message from the primary after which it counts as lost. "
            "A shorter time makes failovers faster and unnecessary ones more frequent.",
            default=0.3,
            unit="seconds",
            minimum=0.05,
            maximum=60,
        ),
        Option(
            "ledger_retention",
            OptionKind.NUMBER,
            "Time for which the ledger remembers an at-most-once request. A repeat "
            "after that runs again.",
            default=604800,
            unit="seconds",
            minimum=3600,
            maximum=31536000,
        ),
    ),
)

RULES = OptionTable(
    "rules",
    "One routing rule. A team's rules are tried in the order of their names; the "
    "first that matches a statement applies.",
    (
        Option(
            "group",
            OptionKind.TEXT,
            "Group of the same team that the rule applies to. Empty: all its groups.",
            default="",
            maximum=63,
        ),
        Option(
            "user",
            OptionKind.TEXT,
            "User of the caller that the rule applies to. Empty: all users.",
            default="",
            maximum=63,
        ),
        Option(
            "statement",
            OptionKind.TEXT,
            "Text that the statement must contain. Empty: all statements.",
            default="",
            maximum=MAX_TEXT_LENGTH,
        ),
        Option(
            "max_age",
            OptionKind.NUMBER,
            "Staleness that the read accepts. Null: the group's default.",
            default=None,
            unit="seconds",
            minimum=0,
            maximum=MAX_AGE_LIMIT,
        ),
        Option(
            "reads",
            OptionKind.TEXT,
            "Databases that may run the reads: any, or only the primary.",
            default="any",
            choices=("any", "primary"),
        ),
        Option(
            "idempotent",
            OptionKind.FLAG,
            "False declares the statement non-idempotent, so that it needs a "
            "request identifier. Null: the caller's choice.",
            default=None,
        ),
    ),
)

USERS = OptionTable(
    "users",
    "One user that callers log on as. The object's name is the user's name; it "
    "must be unique over all teams. The user reaches the team's groups only.",
    (
        Option(
            "secret",
            OptionKind.TEXT,
            "SCRAM-SHA-256 secret in the form that PostgreSQL stores.",
            default="",
            maximum=MAX_TEXT_LENGTH,
            pattern=r"^\Z|^SCRAM-SHA-256\$\d+:[A-Za-z0-9+/=]+\$"
            r"[A-Za-z0-9+/=]+:[A-Za-z0-9+/=]+\Z",
            secret=True,
        ),
        Option(
            "trust",
            OptionKind.FLAG,
            "True allows the user to log on without a password.",
            default=False,
        ),
    ),
)

INSTANCE = OptionTable(
    "instance",
    "The settings file of one proxy process, read once at start-up.",
    (
        Option(
            "name",
            OptionKind.TEXT,
            "Name of the instance, unique in the fleet.",
            pattern=NAME_PATTERN,
        ),
        Option(
            "zone",
            OptionKind.TEXT,
            "Its availability zone.",
            pattern=NAME_PATTERN,
        ),
        Option("listen", OptionKind.ENDPOINT, "Listen address for callers.", minimum=0),
        Option(
            "peer_listen",
            OptionKind.ENDPOINT,
            "Listen address for peers.",
            minimum=0,
        ),
        Option(
            "health_listen",
            OptionKind.ENDPOINT,
            "Listen address for health checks, metrics and the operators' tool "
            "(status).",
            minimum=0,
        ),
        Option(
            "platform_url",
            OptionKind.TEXT,
            "Base URL of the platform's service.",
            maximum=MAX_TEXT_LENGTH,
            pattern="^https?://[^/]+",
        ),
        Option(
            "peer_key",
            OptionKind.TEXT,
            "Key with which peers authenticate each other; the same on all instances.",
            minimum=16,
            maximum=MAX_TEXT_LENGTH,
            secret=True,
        ),
        Option(
            "peer_seeds",
            OptionKind.TABLE,
            "Addresses at which to look for other instances while the platform is "
            "unavailable.",
            default=(),
            minimum=0,
            maximum=MAX_SEEDS,
            columns=(
                Option(
                    "endpoint",
                    OptionKind.ENDPOINT,
                    "An instance's listen address for peers.",
                    minimum=1,
                ),
            ),
        ),
        Option(
            "seats",
            OptionKind.INTEGER,
            "Number of seats: shares into which the connections of the databases are "
            "divided. At least the number of instances, and the same on all of them. "
            "A change requires that all instances are stopped first.",
            default=8,
            unit="seats",
            minimum=1,
            maximum=1024,
        ),
        Option(
            "certificate",
            OptionKind.TEXT,
            "PEM file with the TLS certificate and key for callers. Empty: no TLS.",
            default="",
            maximum=MAX_TEXT_LENGTH,
        ),
        Option(
            "drain_limit",
            OptionKind.NUMBER,
            "Maximum time that a graceful shutdown waits for work in flight.",
            default=30,
            unit="seconds",
            minimum=0,
            maximum=3600,
        ),
    ),
)

SITE_TABLES = (GROUPS, RULES, USERS)
TABLES_BY_KIND = {table.kind: table for table in SITE_TABLES}
