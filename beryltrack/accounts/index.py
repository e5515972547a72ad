"""Which account a caller's key stands for.

Settings are written by people and by other programs. A key that two accounts hold
stands for neither: whichever were served might be the wrong one. Of two accounts with
one name neither is served either, for databases would take them for one.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from itertools import chain
from types import MappingProxyType
from typing import NamedTuple

from beryltrack.accounts.messages import AccountSettings
from beryltrack.findings import Finding


class AccountIndex(NamedTuple):
    """The accounts in force.

    Parameters
    ----------
    by_name : mapping of str to AccountSettings
        The accounts by their names.
    by_key : mapping of str to AccountSettings
        The accounts by the digests of their keys.
    """

    by_name: Mapping[str, AccountSettings] = MappingProxyType({})
    by_key: Mapping[str, AccountSettings] = MappingProxyType({})


NO_ACCOUNTS = AccountIndex()


def build_account_index(
    accounts: Iterable[AccountSettings], source: str
) -> tuple[AccountIndex, list[Finding]]:
    """Return the accounts that can be told apart, and what is wrong with the others.

    Parameters
    ----------
    accounts : iterable of AccountSettings
        All accounts of one version of the settings.
    source : str
        Path of the object that they stand in, for the findings.

    Returns
    -------
    tuple
        The book, and a finding for each name or key that stands for two accounts.
    """
    accounts = tuple(accounts)
    names = Counter(account.name for account in accounts)
    keys = Counter(chain.from_iterable(account.keys for account in accounts))
    by_name = {each.name: each for each in accounts if names[each.name] == 1}
    by_key = {
        key: account
        for account in by_name.values()
        for key in account.keys
        if keys[key] == 1
    }
    doubled = [name for name, count in names.items() if count > 1]
    shared = sorted(key for key, count in keys.items() if count > 1)
    findings = [
        *(Finding(source, "/accounts", f"{name} is there twice") for name in doubled),
        *(
            Finding(source, "/accounts", f"two accounts hold the key of digest {key}")
            for key in shared
        ),
    ]
    return AccountIndex(by_name, by_key), findings
