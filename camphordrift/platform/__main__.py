"""Runs the relay on the users' platform."""

import gc
import importlib


def main() -> None:
    """Runs the relay of one VM until the platform stops the process.

    A VM that starts spends most of the time before its first response on imports. They create many
    objects and hardly any garbage, so collections during them, and of them later, are in vain.
    """
    gc.disable()
    program = importlib.import_module("camphordrift.platform._program")
    gc.freeze()
    gc.enable()
    program.run_program()


if __name__ == "__main__":
    main()
