"""A small HTTP/1.1 server with JSON bodies and persistent connections."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote, urlsplit

REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    503: "Unavailable",
}


class Request(NamedTuple):
    """One request: method, path, query, headers (lower case) and JSON body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: object


class Answer(NamedTuple):
    """One answer: status code and JSON body."""

    code: int
    body: object


Handle = Callable[[Request], Awaitable[Answer | None]]


async def serve(host: str, port: int, handle: Handle) -> asyncio.Server:
    """Serve requests; a handler that returns None has its connection closed."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while request := await _read_request(reader):
                answer = await handle(request)
                if answer is None:
                    break
                data = json.dumps(answer.body).encode()
                head = (
                    f"HTTP/1.1 {answer.code} {REASONS.get(answer.code, 'Other')}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(run, host, port)


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, None at the end of the connection."""
    line = (await reader.readline()).decode()
    if not line.strip():
        return None
    method, target, _ = line.split()
    headers: dict[str, str] = {}
    while text := (await reader.readline()).decode().strip():
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    data = await _read_body(reader, headers)
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query))
    body = json.loads(data) if data else None
    return Request(method, unquote(parts.path), query, headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a request, chunked or of a known length."""
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    data = b""
    while size := int(await reader.readline(), 16):
        data += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return data
