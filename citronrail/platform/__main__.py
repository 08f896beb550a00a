"""Entry point of ``python -m citronrail.platform``."""

import importlib
import signal
import sys

# The imports take seconds with little processor time. SIGHUP would end the
# process by default; it is handled once the components run.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.exit(importlib.import_module('citronrail.platform._program').main())
