"""Runs the command line as ``python -m camphordrift``."""

from camphordrift.daemons import main

if __name__ == "__main__":
    main()
