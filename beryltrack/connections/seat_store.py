"""The seats as objects of the platform, changed by conditional updates."""

from returns.result import Success

from beryltrack.connections.budget_messages import SeatRecord, WriteSeat
from beryltrack.objects.client import PlatformClient
from beryltrack.objects.messages import PlatformObject

PREFIX = "budget/seats/"


class PlatformSeatStore:
    """A `SeatStore` over the platform's object API.

    Parameters
    ----------
    client : PlatformClient
        The platform's client.
    """

    def __init__(self, client: PlatformClient):
        self._client = client

    async def read_seats(self) -> tuple[SeatRecord, ...] | None:
        """Return all seats that were ever written; None if the store is away."""
        result = await self._client.list(PREFIX)
        if not isinstance(result, Success):
            return None
        records = map(parse_seat, result.unwrap().objects)
        return tuple(record for record in records if record is not None)

    async def write_seat(self, write: WriteSeat) -> SeatRecord | None:
        """Write a seat conditionally and return what it is then, if known.

        A lost answer, and a conflict, are resolved by reading the object.
        """
        path = f"{PREFIX}{write.seat}"
        value = {"holder": write.holder}
        written = await self._client.put(path, value, write.if_version)
        if isinstance(written, Success):
            return SeatRecord(write.seat, written.unwrap(), write.holder)
        read = await self._client.get(path)
        found = read.value_or(None)
        return None if found is None else parse_seat(found)


def parse_seat(found: PlatformObject) -> SeatRecord | None:
    """Return the seat that an object stands for, None if it is malformed.

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
    return SeatRecord(int(number), found.version, holder)
