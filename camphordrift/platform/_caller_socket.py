"""Opens the socket for callers before the program is imported.

After a loss of power many VMs start together. A caller whose connection is refused by one VM finds
the next one no further, and may have no retry left; a connection that waits is served as soon as
the program runs.
"""

import json
import os
import socket
from pathlib import Path
from typing import Optional

#: Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = "CAMPHORDRIFT_SETTINGS"

#: Maximum number of connections that wait to be accepted.
_BACKLOG = 1024


def open_caller_socket() -> Optional[socket.socket]:
    """Returns a socket that listens for callers at the address in the settings file.

    Returns ``None`` on any error. The relay opens the socket itself then, after it has checked all
    settings, and reports what is wrong with them or with the address.
    """
    try:
        settings = json.loads(Path(os.environ[SETTINGS_PATH_VARIABLE]).read_bytes())
        host, _, port = settings["Listen"]["Front"].rpartition(":")
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.listen(_BACKLOG)
    except (OSError, ValueError, OverflowError):
        listening.close()
        return None
    return listening
