"""Entry point of ``python -m camphordrift``, which is the same command line."""

from camphordrift.daemons import main

if __name__ == "__main__":
    main()
