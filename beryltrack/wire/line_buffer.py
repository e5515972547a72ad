"""Cuts a stream of bytes into lines that end in CR LF."""

LINE_END = b"\r\n"
MAX_LINE = 1 << 20
"""Most bytes of one line, by the definition of the protocol that is made of lines."""


class MalformedMessage(Exception):
    """Raised when bytes of a peer are no message of the protocol."""


class LineBuffer:
    """Keeps the part of a line that has come so far."""

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete now, without their ends.

        Raises
        ------
        MalformedMessage
            If a line is longer than a message may be.
        """
        *lines, self._rest = (self._rest + data if self._rest else data).split(LINE_END)
        longest = max(map(len, lines), default=0)
        if max(longest, len(self._rest)) > MAX_LINE:
            raise MalformedMessage("the message is too long")
        return lines
