"""Reads a page of a list of instances, decoding each entry separately.

Other programs may write entries that lack fields, hold other types or are not valid JSON.
Such entries are skipped and logged; the remaining entries are used.
"""

import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

from reachlink.membership._damaged_page import recover_page
from reachlink.membership.exceptions import PlatformUnavailableError
from reachlink.telemetry import get_logger

# Largest page of a list in bytes; an entry has some 200.
MAX_PAGE_BYTES = 4 << 20
# Maximum number of unreadable entries remembered as logged, and maximum number of bytes of
# an entry shown in a log line.
MAX_LOGGED = 256
SHOWN_BYTES = 200

# What decoding raises for text that is no JSON of the expected type, or is nested too deeply.
UNREADABLE = (msgspec.DecodeError, RecursionError)

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class ListPage(Generic[T]):
    """Readable entries of a page, and the token of the next page or None."""

    entries: list[T]
    next_token: str | None


class _RawPage(msgspec.Struct):
    instances: list[msgspec.Raw]
    next_token: str | None = None


class PageReader(Generic[T]):
    """Reads pages whose entries have one type.

    Parameters
    ----------
    entry : type
        Type to decode each entry as.
    """

    def __init__(self, entry: type[T]) -> None:
        self._decode_page = msgspec.json.Decoder(_RawPage).decode
        self._decode_entry = msgspec.json.Decoder(entry).decode
        # Checksums of unreadable entries and pages that were logged.
        self._logged: set[int] = set()
        self._log: Any = get_logger()

    def read(self, raw: bytes) -> ListPage[T]:
        """Return the readable entries of a page.

        Raises
        ------
        PlatformUnavailableError
            If the page is not valid JSON and no entry can be recovered from it.
        """
        try:
            page = self._decode_page(raw)
        except UNREADABLE as error:
            recovered = recover_page(raw)
            if not recovered.entries:
                raise PlatformUnavailableError(f"unreadable list: {error}") from error
            self._log_once(raw, str(error))
            entries = [msgspec.Raw(entry) for entry in recovered.entries]
            page = _RawPage(entries, recovered.next_token)
        return ListPage(list(self._readable(page.instances)), page.next_token)

    def _readable(self, entries: list[msgspec.Raw]) -> Iterator[T]:
        for raw in entries:
            try:
                yield self._decode_entry(raw)
            except UNREADABLE as error:
                self._log_once(bytes(raw), str(error))

    def _log_once(self, raw: bytes, reason: str) -> None:
        """Log an unreadable entry only once, since lists are read every few seconds."""
        key = zlib.crc32(raw)
        if key in self._logged:
            return
        if len(self._logged) >= MAX_LOGGED:
            self._logged.clear()
        self._logged.add(key)
        shown = raw[:SHOWN_BYTES].decode(errors="replace")
        self._log.warning("list_entry_unreadable", reason=reason, entry=shown)
