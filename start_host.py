"""Starts one host on the users' platform; the deploy file runs it.

It is run as a file and without `site`: `-m` and `site` import much before the first
line here, and a signal that comes before the handlers ends the process.
"""

import sys

from godwitladder.process.early_signals import install_early_handlers

LIBRARIES = "target/deps"
"""Folder into which the build installs the libraries."""

install_early_handlers()

if __name__ == "__main__":
    # For a platform that names this folder by a file that `site` would read.
    sys.path.append(f"{sys.path[0]}/{LIBRARIES}")
    from godwitladder.platform.__main__ import main

    main()
