"""Runs a module as a program with a lower limit on its open descriptors.

Explanation
-----------
``python -m almondstack.testing.limited_descriptors LIMIT MODULE ARGUMENT...``
"""

import resource
import runpy
import sys

__all__: list[str] = []


def _main() -> None:
    limit = int(sys.argv[1])
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard_limit))
    module = sys.argv[2]
    del sys.argv[1:3]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    _main()
