"""Configuration file of a control daemon."""

from pathlib import Path

import msgspec


class ControlConfig(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """What a control daemon must know.

    Addresses are ``host:port``. ``routes`` maps addresses to those to use in
    their place. ``bootstrap_key_hash`` is the SHA-256 of a key that acts as an
    operator until the settings name one.
    """

    name: str
    availability_zone: str
    host: str = "127.0.0.1"
    port: int
    bus_address: str
    cluster_secret: str
    data_folder: str
    routes: dict[str, str] = {}
    bootstrap_key_hash: str = ""

    @property
    def folder(self) -> Path:
        """The data folder."""
        return Path(self.data_folder)
