"""Allows ``python -m reachlink.entry``."""

from reachlink.entry import main

main()
