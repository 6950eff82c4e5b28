"""Fenced orders to engines. Not built yet: see ``docs/design/orders.md``."""

__all__: list[str] = []
