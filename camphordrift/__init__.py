"""A serving layer for prompts of widely differing lengths.

The package is a library with thin daemons: decisions live in synchronous objects that know neither
sockets nor clocks, and the modules around them do the input and output.
"""

__all__ = ["__version__"]

#: The version of the program. Messages between processes carry versions of their own.
__version__ = "0.1.0"
