"""Entry point of ``python3 -m almondstack.platform``."""

import signal
import sys

# The default action of SIGHUP would end the process if a reload is requested while modules are
# still being imported.  The program polls the settings file once it runs.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from almondstack.platform.program import main  # noqa: E402

sys.exit(main())
