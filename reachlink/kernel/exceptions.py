"""Base class of all errors, and the errors of the kernel layer."""

__all__ = ["ConfigError", "ReachlinkError", "UnknownPluginError"]


class ReachlinkError(Exception):
    """Base class of every error raised by reachlink."""


class ConfigError(ReachlinkError):
    """A process configuration file is missing, malformed or inconsistent."""


class UnknownPluginError(ReachlinkError):
    """A registry has no plug-in under the requested name."""
