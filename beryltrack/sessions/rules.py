"""Selection of the operators' rule that applies to a request.

Each instance holds the rules of all teams, thousands of them in a large fleet, and
matches each statement against them. The rules of a group are therefore selected once
and cached until the settings change.
"""

from beryltrack.settings.messages import GroupSettings, RuleSettings


class RuleSelector:
    """Caches the rules of each group until the settings change."""

    def __init__(self):
        self._rules: tuple[RuleSettings, ...] = ()
        self._selected: dict[tuple[str, str], tuple[RuleSettings, ...]] = {}

    def select(
        self, rules: tuple[RuleSettings, ...], group: GroupSettings
    ) -> tuple[RuleSettings, ...]:
        """Return the rules that can apply to a group, in order.

        Parameters
        ----------
        rules : tuple of RuleSettings
            All rules in force: the same object until the settings change.
        group : GroupSettings
            The group.

        Returns
        -------
        tuple of RuleSettings
            The rules of the group's team for all groups or for this one.
        """
        if rules is not self._rules:
            self._rules, self._selected = rules, {}
        key = (group.team, group.name)
        selected = self._selected.get(key)
        if selected is None:
            selected = tuple(rule for rule in rules if _is_for_group(rule, group))
            self._selected[key] = selected
        return selected


def get_rule(
    rules: tuple[RuleSettings, ...], group: GroupSettings, user: str, statement: str
) -> RuleSettings | None:
    """Return the first rule that matches a request.

    Parameters
    ----------
    rules : tuple of RuleSettings
        All rules, or those of the group, in order.
    group : GroupSettings
        The group that the caller is connected to.
    user : str
        User of the caller.
    statement : str
        Text of the statement.

    Returns
    -------
    RuleSettings or None
        The rule; None if none matches. A rule matches groups of its own team
        only.
    """
    return next(
        (
            rule
            for rule in rules
            if rule.user in ("", user)
            and _is_for_group(rule, group)
            and rule.statement in statement
        ),
        None,
    )


def _is_for_group(rule: RuleSettings, group: GroupSettings) -> bool:
    """Return whether a rule covers a group."""
    return rule.team == group.team and rule.group in ("", group.name)
