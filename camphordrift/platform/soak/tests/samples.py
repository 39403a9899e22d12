"""Records for the tests of the checks."""

from camphordrift.platform.soak import CallerRequest, Execution

REQUEST = CallerRequest(
    id="a1",
    kind="once",
    key="k1",
    account="school",
    vm="vm-0",
    sent_at=1.0,
    timeout=2.0,
    status=200,
    complete=True,
    signature="office-1",
    body=b"done",
    head_at=1.4,
    ended_at=1.5,
    sent_completely=True,
)

EXECUTION = Execution(
    "a1", "office-1", "school", False, started_at=1.1, ended_at=1.4, response_body=b"done"
)
