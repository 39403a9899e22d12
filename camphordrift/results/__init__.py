"""Result codes, and the failures that contain them in responses to callers and operators."""

from camphordrift.results._codes import CodeMeaning, ResultCode, RunState, code_table, meaning_of
from camphordrift.results._failure import Failure, describe_failure

__all__ = [
    "CodeMeaning",
    "Failure",
    "ResultCode",
    "RunState",
    "code_table",
    "describe_failure",
    "meaning_of",
]
