"""Reading and validation of process configuration files."""

from pathlib import Path
from typing import TypeVar

import msgspec

from reachlink.kernel.exceptions import ConfigError

T = TypeVar("T")


def load_config(path: Path, model: type[T]) -> T:
    """Read a JSON file and validate it against a model.

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
        If the file cannot be read or a field is invalid; the message names the
        file and the path of the field.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=model)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise ConfigError(f"{path}: {error}") from error
