"""Writes the generated pages: ``python -m camphordrift.documents [DIRECTORY]``."""

import sys
from pathlib import Path

from camphordrift.documents import write_pages


def main() -> None:
    """Writes the generated pages and prints the paths of those that changed."""
    directory = Path(sys.argv[1]) if len(sys.argv) > 1 else Path("docs")
    for path in write_pages(directory):
        print(path)


if __name__ == "__main__":
    main()
