"""What the command line prints."""

import asyncio
import functools
import sys
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, ParamSpec

import msgspec

from reachlink.cli.exceptions import CliError
from reachlink.settings import SettingsError

P = ParamSpec("P")


def run(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a command and turn its errors into a message and an exit code."""
    with _errors_told():
        return asyncio.run(work)


def reporting(command: Callable[P, None]) -> Callable[P, None]:
    """Return a command that turns its errors into a message and an exit code."""

    @functools.wraps(command)
    def told(*args: P.args, **kwargs: P.kwargs) -> None:
        with _errors_told():
            command(*args, **kwargs)

    return told


@contextmanager
def _errors_told() -> Iterator[None]:
    try:
        yield
    except (CliError, SettingsError) as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(getattr(error, "exit_code", 2))
    except KeyboardInterrupt:
        sys.exit(130)


def show_json(body: Any) -> None:
    """Print JSON for programs and for people."""
    print(msgspec.json.format(msgspec.json.encode(body), indent=2).decode())


def show_line(**pairs: Any) -> None:
    """Print one line of key=value pairs."""
    print(" ".join(f"{key}={_quoted(value)}" for key, value in pairs.items()))


def _quoted(value: Any) -> str:
    text = value if isinstance(value, str) else msgspec.json.encode(value).decode()
    return f'"{text}"' if " " in text or not text else text
