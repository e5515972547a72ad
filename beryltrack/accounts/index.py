"""Index of the accounts in force, by name and by key digest.

Settings are written by people and by other programs, so they may contradict themselves.
A key that two accounts hold identifies neither, as either might be the wrong one. Two
accounts with the same name are both left out, as databases could not tell them apart.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from itertools import chain
from types import MappingProxyType
from typing import NamedTuple

from beryltrack.accounts.messages import AccountSettings
from beryltrack.findings import Finding


class AccountIndex(NamedTuple):
    """The accounts in force, as read-only mappings.

    Parameters
    ----------
    by_name : mapping of str to AccountSettings
        The accounts by name.
    by_key : mapping of str to AccountSettings
        The accounts by the digest of each of their keys.
    """

    by_name: Mapping[str, AccountSettings] = MappingProxyType({})
    by_key: Mapping[str, AccountSettings] = MappingProxyType({})


NO_ACCOUNTS = AccountIndex()


def build_account_index(
    accounts: Iterable[AccountSettings], source: str
) -> tuple[AccountIndex, list[Finding]]:
    """Return the index of the unambiguous accounts, and findings for the others.

    Parameters
    ----------
    accounts : iterable of AccountSettings
        All accounts of one version of the settings.
    source : str
        Settings path of the object that holds them, for the findings.

    Returns
    -------
    tuple
        The index, and a finding for each name or key of more than one account.
    """
    accounts = tuple(accounts)
    name_counts = Counter(account.name for account in accounts)
    key_counts = Counter(chain.from_iterable(account.keys for account in accounts))
    by_name = {each.name: each for each in accounts if name_counts[each.name] == 1}
    by_key = {
        key: account
        for account in by_name.values()
        for key in account.keys
        if key_counts[key] == 1
    }
    duplicate_names = [name for name, count in name_counts.items() if count > 1]
    shared_keys = sorted(key for key, count in key_counts.items() if count > 1)
    findings = [
        *(
            Finding(source, "/accounts", f"account {name} is defined more than once")
            for name in duplicate_names
        ),
        *(
            Finding(
                source,
                "/accounts",
                f"more than one account holds the key of digest {key}",
            )
            for key in shared_keys
        ),
    ]
    return AccountIndex(by_name, by_key), findings
