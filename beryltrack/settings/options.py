"""The options that operators can set, each with its meaning, unit and bounds.

This one table is the source of the checks (`beryltrack.settings.schema`) and of
the reference page docs/SETTINGS.md (`beryltrack.settings.reference`), so that
the three cannot differ.
"""

import enum
from typing import NamedTuple


class OptionKind(enum.Enum):
    """Form of an option's value in JSON."""

    TEXT = "text"
    INTEGER = "integer"
    NUMBER = "number"
    FLAG = "true or false"
    ENDPOINT = "object with host (IP number) and port"
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
        Form of its value.
    doc : str
        What it does, in whole sentences.
    default : object
        Value if it is left out; `REQUIRED` if it must be given. None makes
        ``null`` a value too.
    unit : str
        Unit of a number, else empty.
    minimum, maximum : float or None
        Bounds of a number, of each number of a list, of the length of a text or of
        a list of objects, or of the port of an endpoint, all inclusive.
    choices : tuple of str
        The only values of a text; empty for any.
    pattern : str
        Regular expression that a text must match; empty for any.
    secret : bool
        True if the value must not be shown in findings.
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
        What one such object describes.
    options : tuple of Option
        Its options.
    """

    kind: str
    doc: str
    options: tuple[Option, ...]


# A text may not end in a newline either, which "$" would let through.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z"
MAX_TEXT = 1000
MAX_AGE_LIMIT = 86400.0
MAX_DATABASES = 9
MAX_SEEDS = 64

DATABASE_OPTIONS = (
    Option(
        "name",
        OptionKind.TEXT,
        "Name of the database, unique in its group.",
        pattern=NAME_PATTERN,
    ),
    Option("endpoint", OptionKind.ENDPOINT, "Where the database listens.", minimum=1),
    Option(
        "zone",
        OptionKind.TEXT,
        "Its availability zone. Proxies prefer replicas of their own zone.",
        pattern=NAME_PATTERN,
    ),
    Option(
        "max_connections",
        OptionKind.INTEGER,
        "Most connections to the database over all proxies together.",
        unit="connections",
        minimum=1,
        maximum=10000,
    ),
    Option(
        "slots",
        OptionKind.INTEGER,
        "Statements that the database runs at once.",
        default=3,
        unit="statements",
        minimum=1,
        maximum=10000,
    ),
    Option(
        "draining",
        OptionKind.FLAG,
        "True takes new work off the database. If it is the primary, another "
        "database takes over first (planned hand-over).",
        default=False,
    ),
)

GROUPS = OptionTable(
    "groups",
    "One database group. The object's name is the database name that callers "
    "ask for; it must be unique over all teams.",
    (
        Option(
            "databases",
            OptionKind.TABLE,
            "Members of the group. An odd number of at least three survives the "
            "loss of one.",
            minimum=1,
            maximum=MAX_DATABASES,
            columns=DATABASE_OPTIONS,
        ),
        Option(
            "user",
            OptionKind.TEXT,
            "User by which proxies log on to the databases.",
            minimum=1,
            maximum=63,
        ),
        Option(
            "password",
            OptionKind.TEXT,
            "That user's password. Empty if the databases trust the proxies.",
            default="",
            maximum=MAX_TEXT,
            secret=True,
        ),
        Option(
            "max_age",
            OptionKind.NUMBER,
            "Staleness that reads accept unless a rule or the caller says "
            "otherwise. Zero: only the newest data that was acknowledged.",
            default=0,
            unit="seconds",
            minimum=0,
            maximum=MAX_AGE_LIMIT,
        ),
        Option(
            "lost_after",
            OptionKind.NUMBER,
            "Time without a word after which a primary counts as lost. Shorter "
            "means shorter failovers and more needless ones.",
            default=0.3,
            unit="seconds",
            minimum=0.05,
            maximum=60,
        ),
        Option(
            "ledger_retention",
            OptionKind.NUMBER,
            "Time for which a marked request is remembered. A repeat that comes "
            "later runs again.",
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
    "first that matches a statement applies to it.",
    (
        Option(
            "group",
            OptionKind.TEXT,
            "Group of the same team that the rule is for. Empty: each of them.",
            default="",
            maximum=63,
        ),
        Option(
            "user",
            OptionKind.TEXT,
            "User of the caller that the rule is for. Empty: all.",
            default="",
            maximum=63,
        ),
        Option(
            "statement",
            OptionKind.TEXT,
            "Text that the statement must contain. Empty: all statements.",
            default="",
            maximum=MAX_TEXT,
        ),
        Option(
            "max_age",
            OptionKind.NUMBER,
            "Staleness that the read accepts. Null leaves the group's.",
            default=None,
            unit="seconds",
            minimum=0,
            maximum=MAX_AGE_LIMIT,
        ),
        Option(
            "reads",
            OptionKind.TEXT,
            "Where reads may go: to any database, or to the primary only.",
            default="any",
            choices=("any", "primary"),
        ),
        Option(
            "idempotent",
            OptionKind.FLAG,
            "False marks the statement as non-idempotent, so that it needs a "
            "request identifier. Null leaves the caller's mark.",
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
            maximum=MAX_TEXT,
            pattern=r"^\Z|^SCRAM-SHA-256\$\d+:[A-Za-z0-9+/=]+\$"
            r"[A-Za-z0-9+/=]+:[A-Za-z0-9+/=]+\Z",
            secret=True,
        ),
        Option(
            "trust",
            OptionKind.FLAG,
            "True lets the user log on without a password.",
            default=False,
        ),
    ),
)

INSTANCE = OptionTable(
    "instance",
    "The settings file of one proxy process. It is read once, at start-up.",
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
        Option("listen", OptionKind.ENDPOINT, "Where callers connect.", minimum=0),
        Option("peer_listen", OptionKind.ENDPOINT, "Where peers connect.", minimum=0),
        Option(
            "health_listen",
            OptionKind.ENDPOINT,
            "Where the balancer asks for health, the scraper for metrics and the "
            "operators' tool for status.",
            minimum=0,
        ),
        Option(
            "platform_url",
            OptionKind.TEXT,
            "Base address of the platform's service.",
            maximum=MAX_TEXT,
            pattern="^https?://[^/]+",
        ),
        Option(
            "peer_key",
            OptionKind.TEXT,
            "Key that peers prove to each other; the same on the whole fleet.",
            minimum=16,
            maximum=MAX_TEXT,
            secret=True,
        ),
        Option(
            "peer_seeds",
            OptionKind.TABLE,
            "Where other instances may be found while the platform cannot tell.",
            default=(),
            minimum=0,
            maximum=MAX_SEEDS,
            columns=(
                Option(
                    "endpoint",
                    OptionKind.ENDPOINT,
                    "Where the peers of an instance connect.",
                    minimum=1,
                ),
            ),
        ),
        Option(
            "seats",
            OptionKind.INTEGER,
            "Number of shares into which the connections of the databases are "
            "divided; at least the number of instances, and the same on all of "
            "them. Changing it means stopping all instances first.",
            default=8,
            unit="seats",
            minimum=1,
            maximum=1024,
        ),
        Option(
            "certificate",
            OptionKind.TEXT,
            "PEM file with the TLS certificate and key for callers. Empty: none.",
            default="",
            maximum=MAX_TEXT,
        ),
        Option(
            "drain_limit",
            OptionKind.NUMBER,
            "Time that a graceful shutdown waits for work in flight.",
            default=30,
            unit="seconds",
            minimum=0,
            maximum=3600,
        ),
    ),
)

SITE_TABLES = (GROUPS, RULES, USERS)
TABLES_BY_KIND = {table.kind: table for table in SITE_TABLES}
