"""Generates docs/SETTINGS.md from the options tables.

Run ``python -m beryltrack.settings.reference docs/SETTINGS.md`` to write the page;
a test checks that it is up to date.
"""

import json
import sys
from pathlib import Path

from beryltrack.load.mechanisms import LOAD_MECHANISMS, LoadMechanism
from beryltrack.load.settings import LOAD_OPTIONS
from beryltrack.settings.mechanisms import DISABLED_VARIABLE
from beryltrack.settings.options import (
    INSTANCE,
    REQUIRED,
    SITE_TABLES,
    Option,
    OptionKind,
    OptionTable,
)

PAGE_HEAD = """# Settings

Generated from `beryltrack/settings/options.py` by
`python -m beryltrack.settings.reference docs/SETTINGS.md`; change it there.

Settings are JSON objects in the platform's store, under paths
`settings/TEAM/KIND/NAME`. A team's subtree is `settings/TEAM/`; the kinds are
`groups`, `rules` and `users`. Names consist of at most 63 letters, digits, `_`, `.`
and `-`. [OPERATORS.md](OPERATORS.md) explains how to change settings.

These constraints apply beyond the tables. In a group, databases have different names
and endpoints, none has more slots than connections, and at least one is not
draining. In a rule, reads of the primary cannot have a staleness. A user has either
a secret or trust. Between objects, names of groups and of users are unique among
all teams (the object created first is in force, the other is not); a rule that
names a group or user that its team does not have is not in force; two groups should
not share an endpoint.
"""
EXAMPLES = {
    "groups": {
        "user": "proxy",
        "password": "",
        "max_age": 0,
        "databases": [
            {
                "name": f"orders-{number}",
                "endpoint": {"host": f"10.0.{number}.5", "port": 5432},
                "zone": f"zone-{zone}",
                "max_connections": 20,
            }
            for number, zone in ((1, "a"), (2, "b"), (3, "c"))
        ],
    },
    "rules": {"group": "orders", "statement": "FROM versions", "max_age": 5},
    "users": {"trust": True},
    "instance": {
        "name": "proxy-1",
        "zone": "zone-a",
        "listen": {"host": "10.0.1.9", "port": 5432},
        "peer_listen": {"host": "10.0.1.9", "port": 5433},
        "health_listen": {"host": "10.0.1.9", "port": 8080},
        "platform_url": "http://10.0.0.2:8000",
        "peer_key": "at least sixteen characters",
    },
    "load": {"per_slot": 2, "floors": [0, 0.2, 0.1, 0.05]},
}
TITLES = {
    "instance": "The instance's settings file",
    "load": "The decisions under load",
}


def format_page() -> str:
    """Return the text of docs/SETTINGS.md."""
    sections = [format_table(table) for table in (*SITE_TABLES, INSTANCE, LOAD_OPTIONS)]
    return "\n".join([PAGE_HEAD, *sections, format_mechanisms()])


def format_table(table: OptionTable) -> str:
    """Return the section of one kind of object."""
    nested = [option for option in table.options if option.columns]
    title = TITLES.get(table.kind, f"Kind `{table.kind}`")
    example = json.dumps(EXAMPLES[table.kind], indent=2)
    blocks = [
        f"## {title}\n",
        f"{table.doc}\n",
        _format_options(table.options),
        *(
            f"Each object in `{option.name}`:\n\n{_format_options(option.columns)}"
            for option in nested
        ),
        f"```json\n{example}\n```\n",
    ]
    return "\n".join(blocks)


def format_mechanisms() -> str:
    """Return the table of the mechanisms of the decisions under load."""
    head = (
        "The mechanisms of these decisions, and the name that switches each off in "
        f"`{DISABLED_VARIABLE}`:\n\n"
        "| mechanism | active with | options | switched off by |\n|---|---|---|---|\n"
    )
    return head + "".join(map(_format_mechanism, LOAD_MECHANISMS))


def _format_mechanism(mechanism: LoadMechanism) -> str:
    """Return the table row of one mechanism."""
    cells = (
        mechanism.summary,
        mechanism.applies_to,
        ", ".join(f"`{name}`" for name in mechanism.options),
        f"`{mechanism.switch.value}`" if mechanism.switch else "",
    )
    return f"| {' | '.join(cells)} |\n"


def _format_options(options: tuple[Option, ...]) -> str:
    """Return the Markdown table of options."""
    head = "| option | value | default | bounds | meaning |\n|---|---|---|---|---|\n"
    return head + "".join(_format_option(option) for option in options)


def _format_option(option: Option) -> str:
    """Return the table row of one option."""
    cells = (
        f"`{option.name}`",
        " or ".join(f"`{choice}`" for choice in option.choices) or option.kind.value,
        "required" if option.default is REQUIRED else f"`{json.dumps(option.default)}`",
        _format_bounds(option),
        option.doc,
    )
    return f"| {' | '.join(cells)} |\n"


def _format_bounds(option: Option) -> str:
    """Return the bounds of an option's value with their unit."""
    unit = {
        OptionKind.TEXT: "characters",
        OptionKind.TABLE: "objects",
        OptionKind.ENDPOINT: "(port)",
    }.get(option.kind, option.unit)
    low, high = (
        "" if bound is None else f"{bound:g}"
        for bound in (option.minimum, option.maximum)
    )
    if low and high:
        return f"{low} to {high} {unit}"
    if low:
        return f"from {low} {unit}"
    return f"up to {high} {unit}" if high else ""


def main() -> None:
    """Write the page to the file named by the first argument."""
    Path(sys.argv[1]).write_text(format_page())


if __name__ == "__main__":
    main()
