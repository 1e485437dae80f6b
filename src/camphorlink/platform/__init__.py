"""Adapters for the users' platform: its names, formats and calls.

The adapters translate between the package's own types and the platform's
protocol and make no decisions.  All other packages use only the own types.
"""
