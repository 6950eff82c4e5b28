"""Allows ``python -m reachlink.control``."""

from reachlink.control import main

main()
