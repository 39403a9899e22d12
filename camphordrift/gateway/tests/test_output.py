"""Tests of the output assembler, which checks every chunk of a response."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.backend_servers import TokenChunk
from camphordrift.gateway import AnswerMismatchError, OutputAssembler
from camphordrift.identifiers import RequestId

OWN = RequestId("own")
OTHER = RequestId("other")


def token_chunk(
    first: int, count: int, *, request: RequestId = OWN, attempt: int = 1
) -> TokenChunk:
    text = "".join(f"t{index} " for index in range(first, first + count))
    return TokenChunk(request, attempt, first, count, text)


def started_assembler(attempt: int = 1) -> OutputAssembler:
    assembler = OutputAssembler(OWN)
    assembler.start_attempt(attempt)
    return assembler


class OutputAssemblerTest(testtools.TestCase):
    def test_rejects_chunks_that_do_not_continue_the_output(self) -> None:
        cases = {
            "another request's chunk": token_chunk(0, 1, request=OTHER),
            "an earlier attempt's chunk": token_chunk(0, 1, attempt=0),
            "a later attempt's chunk": token_chunk(0, 1, attempt=2),
            "a chunk that skips tokens": token_chunk(1, 1),
        }
        for name, wrong in cases.items():
            with self.subTest(name):
                self.assertRaises(AnswerMismatchError, started_assembler().accept, wrong)

    def test_drops_tokens_that_were_already_delivered(self) -> None:
        assembler = started_assembler()
        assembler.accept(token_chunk(0, 3))
        assembler.start_attempt(2)
        self.assertIsNone(assembler.accept(token_chunk(0, 3, attempt=2)))
        self.assertEqual(
            token_chunk(3, 1, attempt=2), assembler.accept(token_chunk(3, 1, attempt=2))
        )

    def test_rejects_a_chunk_that_repeats_only_some_tokens(self) -> None:
        assembler = started_assembler()
        assembler.accept(token_chunk(0, 2))
        self.assertRaises(AnswerMismatchError, assembler.accept, token_chunk(1, 2))

    def test_rejects_chunks_after_the_end(self) -> None:
        assembler = started_assembler()
        assembler.accept(TokenChunk(OWN, 1, 0, 1, "t0 ", "stop"))
        self.assertRaises(AnswerMismatchError, assembler.accept, token_chunk(1, 1))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([OWN, OTHER]),
                st.integers(0, 3),
                st.integers(0, 8),
                st.integers(0, 3),
            ),
            max_size=40,
        )
    )
    def test_delivers_a_prefix_of_the_output_for_any_sequence_of_chunks(
        self, arrivals: list[tuple[RequestId, int, int, int]]
    ) -> None:
        """No token is lost, duplicated or from another request, in whatever order chunks arrive."""
        assembler = started_assembler()
        delivered = ""
        for request, attempt, first, count in arrivals:
            if attempt == 3:
                continue
            try:
                new_chunk = assembler.accept(
                    token_chunk(first, count, request=request, attempt=attempt)
                )
            except AnswerMismatchError:
                continue
            if new_chunk is not None:
                delivered += new_chunk.text
        expected = "".join(f"t{index} " for index in range(assembler.delivered_tokens))
        self.assertEqual(expected, delivered)
