"""The site as one instance knows it: the settings and the databases in force."""

from collections.abc import Callable

from beryltrack.daemon import node_options as options
from beryltrack.settings.messages import RouteSettings, SiteSettings
from beryltrack.settings.roster import (
    Roster,
    RosterEntry,
    SiteConfiguration,
    make_site,
)


class NodeSite:
    """Derives the settings in force; they never revert to an older version.

    Parameters
    ----------
    seconds : callable
        The instance's time.
    """

    def __init__(self, seconds: Callable[[], float]):
        self._seconds = seconds
        self._settings = SiteSettings(0, (), (), ())
        self._routes: dict[str, RouteSettings] = {}
        self._configuration: SiteConfiguration | None = None
        self._roster = Roster()
        self._has_roster = False

    @property
    def settings(self) -> SiteSettings:
        """The settings in force."""
        return self._settings

    @property
    def version(self) -> int:
        """The version of the operators' configuration; 0 before it is known."""
        return self._configuration.version if self._configuration else 0

    @property
    def has_databases(self) -> bool:
        """True once the databases are known."""
        return self._has_roster

    @property
    def is_known(self) -> bool:
        """True once both configuration and databases are known."""
        return self._configuration is not None and self._has_roster

    def get_route(self, name: str) -> RouteSettings | None:
        """Return the route of a database name."""
        return self._routes.get(name)

    def update_configuration(self, configuration: SiteConfiguration) -> bool:
        """Set the operators' configuration; return whether it is newer."""
        known = self._configuration
        if known is not None and configuration.version <= known.version:
            return False
        self._configuration = configuration
        return True

    def update_databases(
        self, entries: tuple[RosterEntry, ...], era: int, removed_after: float
    ) -> None:
        """Set the databases; see `Roster.observe`."""
        self._roster.observe(entries, self._seconds(), era, removed_after)
        self._has_roster = True

    def apply(self, now: float) -> SiteSettings:
        """Put the known configuration and databases in force; return the settings."""
        self._settings = make_site(
            self._configuration, self._roster, options.LOST_AFTER, now
        )
        self._routes = {route.name: route for route in self._settings.routes}
        return self._settings

    def get_next_check(self, now: float) -> float | None:
        """Return when the databases must be checked again; None for never."""
        return self._roster.get_next_check(now)
