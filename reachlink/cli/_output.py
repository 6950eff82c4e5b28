"""What the command line prints."""

import asyncio
import sys
from collections.abc import Coroutine
from typing import Any

import msgspec

from reachlink.cli.exceptions import CliError
from reachlink.settings import SettingsError


def run(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a command and turn its errors into a message and an exit code."""
    try:
        return asyncio.run(work)
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
