"""Runs ``camphorlink-node`` from a checkout, without an installation."""

from camphorlink.platform.program import main

main()
