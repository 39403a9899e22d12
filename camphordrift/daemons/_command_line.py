"""The command line."""

import cyclopts

import camphordrift

app = cyclopts.App(
    name="camphordrift",
    version=camphordrift.__version__,
    help="A serving layer for prompts of widely differing lengths.",
)


def main() -> None:
    """Runs the command line and exits with its code."""
    app()
