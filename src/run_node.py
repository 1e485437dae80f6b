"""Runs ``camphorlink-node`` from a checkout, without an installation."""

import os

# On the platform a node speaks no TLS.  The HTTP library builds a context with
# all certificates of the machine while it is imported, which takes a sixth of
# the time to start.
os.environ['SSL_CERT_FILE'] = os.devnull

from camphorlink.platform.program import main

main()
