"""The users' platform: its names, formats and calls, and nothing that decides.

Everything else in camphorlink works with the product's own types; this folder
translates between them and what the platform speaks.
"""
