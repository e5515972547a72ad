"""Splits a stream of bytes into lines that end in CR LF."""

LINE_END = b"\r\n"
MAX_LINE_SIZE = 1 << 20
"""Longest line that the line protocol allows, bytes."""


class MalformedMessage(Exception):
    """Raised when a peer sends bytes that are not a valid message."""


class LineBuffer:
    """Buffers the last, incomplete line."""

    __slots__ = ("_partial_line",)

    def __init__(self):
        self._partial_line = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete now, without CR LF.

        Raises
        ------
        MalformedMessage
            If a line is longer than `MAX_LINE_SIZE`.
        """
        *lines, self._partial_line = (
            self._partial_line + data if self._partial_line else data
        ).split(LINE_END)
        longest = max(map(len, lines), default=0)
        if max(longest, len(self._partial_line)) > MAX_LINE_SIZE:
            raise MalformedMessage(f"a line is longer than {MAX_LINE_SIZE} bytes")
        return lines
