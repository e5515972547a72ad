"""Seats as objects of the platform, changed by conditional updates."""

from returns.result import Success

from beryltrack.connections.budget_messages import SeatRecord, WriteSeat
from beryltrack.objects.client import PlatformClient
from beryltrack.objects.eras import get_era, get_revision, make_version
from beryltrack.objects.messages import PlatformObject

PREFIX = "budget/seats/"


class PlatformSeatStore:
    """A `SeatStore` over the platform's object API.

    The value of a seat includes the era in which it was written, so that a seat that a
    restored backup shows again is not taken for a later write.

    Parameters
    ----------
    client : PlatformClient
        The platform's client.
    seats : int
        The number of seats.
    """

    def __init__(self, client: PlatformClient, seats: int):
        self._client = client
        self._seats = seats

    async def read_seats(self) -> tuple[SeatRecord, ...] | None:
        """Return all seats; None if the store is unavailable."""
        result = await self._client.list(PREFIX)
        if not isinstance(result, Success):
            return None
        era = get_era(result.unwrap().revision)
        absent = {seat: make_absent_seat(seat, era) for seat in range(self._seats)}
        records = map(parse_seat, result.unwrap().objects)
        found = {record.seat: record for record in records if record is not None}
        return tuple((absent | found).values())

    async def write_seat(self, write: WriteSeat) -> SeatRecord | None:
        """Write a seat conditionally and return the resulting seat, if known.

        After a lost answer or a conflict the object is read.
        """
        path = f"{PREFIX}{write.seat}"
        value = {"holder": write.holder, "era": get_era(write.if_version)}
        written = await self._client.put(path, value, write.if_version)
        if isinstance(written, Success):
            version = written.unwrap()
            return SeatRecord(write.seat, version, write.holder, version)
        read = await self._client.get(path)
        if not isinstance(read, Success):
            return None
        found = read.unwrap()
        if found is None:
            return make_absent_seat(write.seat, self._client.eras.era)
        return parse_seat(found)


def make_absent_seat(seat: int, era: int) -> SeatRecord:
    """Return the record of a seat that the store does not have in an era."""
    return SeatRecord(seat, 0, "", make_version(era, 0))


def parse_seat(found: PlatformObject) -> SeatRecord | None:
    """Return the seat that an object describes, None if it is malformed.

    Parameters
    ----------
    found : PlatformObject
        An object under `PREFIX`.

    Returns
    -------
    SeatRecord or None
        The seat.
    """
    number = found.path.removeprefix(PREFIX)
    holder = found.value.get("holder") if isinstance(found.value, dict) else None
    if not number.isdecimal() or not isinstance(holder, str):
        return None
    written_in = found.value.get("era", 0)
    if not isinstance(written_in, int) or not 0 <= written_in <= get_era(found.version):
        return None
    version = make_version(written_in, get_revision(found.version))
    return SeatRecord(int(number), version, holder, found.version)
