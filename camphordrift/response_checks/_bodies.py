"""Errors of bodies that are not what a client asked for."""

#: What decoding a body raises, and taking fields from the decoded value, if it is of another kind.
DECODING_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
