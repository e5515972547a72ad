"""Clients of the line protocol."""

import asyncio
import itertools
from typing import NamedTuple

_numbers = itertools.count(1)


class Reply(NamedTuple):
    """The end of an answer: COMPLETE, ERROR or nothing, and its rows."""

    last: str
    rows: tuple[str, ...]
    state: str


class Client:
    """One session at an instance."""

    def __init__(self, record, instance, database: str) -> None:
        self._record, self._instance, self._database = record, instance, database
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.sent: dict[str, float] = {}

    async def open(self) -> bool:
        """Open the session; return whether it is ready."""
        try:
            self._reader, self._writer = await asyncio.wait_for(
                asyncio.open_connection(*self._instance.front), 2
            )
            self._writer.write(f"START {self._database} u1\r\n".encode())
            line = await asyncio.wait_for(self._reader.readline(), 2)
        except (OSError, TimeoutError):
            return False
        if not line.startswith(b"READY"):
            self.close()
            return False
        return True

    def close(self) -> None:
        """Close the session."""
        if self._writer is not None:
            self._writer.close()

    async def query(self, text: str, limit: float = 3.0) -> Reply | None:
        """Send a statement; return its answer, None if the session is lost."""
        request_id = f"{next(_numbers):016x}"
        loop = asyncio.get_running_loop()
        self.sent[request_id] = loop.time()
        name = self._instance.name
        self._record.write(f"{request_id} sent to {name}: {text}")
        try:
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            reply = await asyncio.wait_for(self._read_reply(), limit)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._record.write(f"{request_id} no answer: {error!r}")
            return None
        self._record.write(f"{request_id} answered: {reply.last} {reply.rows}")
        return reply

    async def _read_reply(self) -> Reply:
        """Read one answer."""
        rows, last = [], ""
        while True:
            line = await self._reader.readline()
            if not line.endswith(b"\r\n"):
                raise ConnectionResetError("the session ended")
            text = line.decode("latin-1").rstrip("\r\n")
            if text.startswith("DATAROW"):
                rows.append(text[8:])
            elif text.startswith("READY"):
                return Reply(last, tuple(rows), text.split(" ")[1])
            else:
                last = text
