"""Runs ``camphorlink-node`` from a checkout, without an installation."""

import gc
import importlib
import os

from camphorlink.platform.early_listener import listen_for_callers

# A collection during the imports finds nothing to free.
gc.disable()
# On the platform a node speaks no TLS.  The HTTP library builds a context with
# all certificates of the machine while it is imported, which takes a sixth of
# the time to start.
os.environ['SSL_CERT_FILE'] = os.devnull
# The service library scans all installed packages for plug-ins, none of which
# a node uses.
os.environ['AIOMISC_NO_PLUGINS'] = '1'

listener = listen_for_callers()
importlib.import_module('camphorlink.platform.program').main(obj=listener)
