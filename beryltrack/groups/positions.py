"""Comparisons of log positions across terms, as in Raft or Kafka's leader epochs.

A log is described by its history, the offsets at which its terms begin. An entry
``(term, offset)`` is in a log if that log has the term and the term did not end
before the offset. An acknowledged entry is in the log of every later primary, so it
also counts as covered by a log that only has later terms.
"""

from beryltrack.groups.messages import LogPosition, TermStart


def get_term_end(history: tuple[TermStart, ...], term: int) -> int | None:
    """Return the offset at which a term ended, or None if it has not ended.

    Parameters
    ----------
    history : tuple of TermStart
        The log's terms, oldest first.
    term : int
        The term asked for.

    Returns
    -------
    int or None
        Last offset before the first later term, or None if there is no later one.
    """
    return next((start.offset for start in history if start.term > term), None)


def has_entry(
    history: tuple[TermStart, ...], end: LogPosition, entry: LogPosition
) -> bool:
    """Return whether a log holds one particular entry.

    Parameters
    ----------
    history : tuple of TermStart
        The log's terms, oldest first.
    end : LogPosition
        The last entry of the log.
    entry : LogPosition
        The entry to look for.

    Returns
    -------
    bool
        True only if the log holds this entry and not another at its offset.
    """
    if entry.offset > end.offset:
        return False
    if not any(start.term == entry.term for start in history):
        return False
    term_end = get_term_end(history, entry.term)
    return term_end is None or entry.offset <= term_end


def covers(
    history: tuple[TermStart, ...], end: LogPosition, token: LogPosition
) -> bool:
    """Return whether a log holds all acknowledged writes up to a session's token.

    Parameters
    ----------
    history : tuple of TermStart
        The log's terms, oldest first.
    end : LogPosition
        The last entry that is applied.
    token : LogPosition
        A position that was acknowledged to the session.

    Returns
    -------
    bool
        True if every acknowledged write up to the token is applied. Entries beyond
        the end of the token's term were never acknowledged, so they are not
        required.
    """
    if token.offset == 0:
        return True
    # Fast path: nearly all calls are about the current term, where offsets suffice.
    if end.term == token.term and end.offset >= token.offset:
        return True
    if end.term < token.term:
        return False
    term_end = get_term_end(history, token.term)
    needed = token.offset if term_end is None else min(token.offset, term_end)
    return end.offset >= needed
