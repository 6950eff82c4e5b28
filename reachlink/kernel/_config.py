"""Reading of a process configuration file into a validated model."""

from pathlib import Path
from typing import TypeVar

import msgspec

from reachlink.kernel.exceptions import ConfigError

T = TypeVar("T")


def load_config(path: Path, model: type[T]) -> T:
    """Read a JSON file and validate it.

    Parameters
    ----------
    path : pathlib.Path
        File to read.
    model : type
        `msgspec.Struct` subclass that describes the file.

    Returns
    -------
    object
        Instance of `model`.

    Raises
    ------
    ConfigError
        If the file cannot be read or a field is wrong; the message names the
        file and the field's path.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=model)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise ConfigError(f"{path}: {error}") from error
