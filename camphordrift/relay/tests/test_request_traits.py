"""Tests of the traits that stand for whole requests."""

from dataclasses import replace

import testtools

from camphordrift.relay import Account
from camphordrift.relay.connections._http_server import CallerRequest
from camphordrift.relay.crashes._request_traits import whole_request_trait

REQUEST = CallerRequest(
    b"POST", b"/look/x", ((b"host", b"a.example"), (b"x-attempt", b"a1")), b"body", 1.0
)

ACCOUNT = Account("school", None)


class WholeRequestTest(testtools.TestCase):
    def test_a_request_that_is_sent_again_has_the_same(self) -> None:
        again = replace(
            REQUEST,
            headers=((b"x-attempt", b"a2"), (b"host", b"a.example")),
            received_at=2.0,
        )
        self.assertEqual(
            whole_request_trait(REQUEST, ACCOUNT), whole_request_trait(again, Account("school", 3))
        )

    def test_requests_that_differ_have_different_ones(self) -> None:
        variants = [
            whole_request_trait(REQUEST, ACCOUNT),
            whole_request_trait(REQUEST, None),
            whole_request_trait(REQUEST, Account("club", None)),
            whole_request_trait(replace(REQUEST, method=b"PUT"), ACCOUNT),
            whole_request_trait(replace(REQUEST, target=b"/look/y"), ACCOUNT),
            whole_request_trait(replace(REQUEST, headers=((b"host", b"b.example"),)), ACCOUNT),
            whole_request_trait(replace(REQUEST, body=b"bodies"), ACCOUNT),
        ]
        self.assertEqual(len(variants), len(set(variants)))

    def test_the_fields_of_a_request_are_kept_apart(self) -> None:
        moved = replace(REQUEST, target=b"/look/xschool", body=b"body")
        self.assertNotEqual(
            whole_request_trait(REQUEST, ACCOUNT), whole_request_trait(moved, Account("", None))
        )
