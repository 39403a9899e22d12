"""Tests that the soak reports requests that crash servers for too long."""

import random
from dataclasses import replace

import testtools

from camphordrift.platform.soak import CallerRequest, Observations, find_violations
from camphordrift.platform.soak._prompts import (
    crashing_body,
    crashing_part_id,
    draw_crashing_prompt,
    draw_sound_prompt,
    find_crashing_body,
    find_crashing_part,
    format_parts,
    parse_parts,
)
from camphordrift.platform.soak._records import Arrival, Crash, stream_body
from camphordrift.platform.soak.tests.samples import REQUEST

_PART = crashing_part_id(1)


def _request(request_id: str, parts: tuple[str, ...], sent_at: float, status: int) -> CallerRequest:
    return replace(
        REQUEST,
        id=request_id,
        kind="stream",
        sent_at=sent_at,
        timeout=4.0,
        parts=parts,
        status=status,
        complete=True,
        body=stream_body(request_id),
        ended_at=sent_at + 0.5,
        crash_cause=_PART if _PART in parts else None,
    )


class CrashingPromptTest(testtools.TestCase):
    def observations(self, crashes: int, late_requests: int) -> Observations:
        """Crashes from 10 s on every 0.1 s, and requests with the same part at 15 s."""
        observations = Observations()
        for number in range(crashes):
            observations.crashes.append(Crash(f"engine-{number}", _PART, 10.0 + 0.1 * number))
        for number in range(late_requests):
            request = _request(f"b{number}", ("f0", _PART, "01"), 15.0, 502)
            observations.requests[request.id] = request
            observations.arrivals.append(Arrival(request.id, "engine-9", 15.0))
        return observations

    def test_reports_requests_that_arrive_after_five_crashes(self) -> None:
        (line,) = find_violations(self.observations(5, 4), 30.0)
        self.assertIn(f"4 requests with '{_PART}' reached servers", line)

    def test_three_requests_may_arrive_after_five_crashes(self) -> None:
        self.assertEqual([], find_violations(self.observations(5, 3), 30.0))
        self.assertEqual([], find_violations(self.observations(4, 9), 30.0))

    def test_requests_may_arrive_until_the_crashes_must_be_known(self) -> None:
        observations = self.observations(5, 9)
        for arrival in observations.arrivals:
            arrival.at = 14.3
        self.assertEqual([], find_violations(observations, 30.0))

    def test_requests_of_a_vm_that_was_disrupted_do_not_count(self) -> None:
        observations = self.observations(5, 9)
        observations.store_link_disruptions["vm-0"].append((12.1, 12.2))
        self.assertEqual([], find_violations(observations, 30.0))

    def sound_requests(self, *statuses: int) -> Observations:
        """Twenty requests without crashes and twenty beside crashing prompts, by status."""
        observations = self.observations(5, 1)
        observations.requests["b9"] = _request("b9", ("f0", _PART, "01"), 40.0, 502)
        for start, status in zip((1.0, 20.0), statuses, strict=True):
            for number in range(20):
                request_id = f"a{start}-{number}"
                request = _request(request_id, ("f0", "50", "02"), start + number * 0.2, status)
                observations.requests[request_id] = request
        return observations

    def test_reports_sound_requests_that_are_refused_beside_crashing_prompts(self) -> None:
        (line,) = find_violations(self.sound_requests(200, 503), 60.0)
        self.assertIn("0% of 20 sound requests", line)
        self.assertEqual([], find_violations(self.sound_requests(200, 200), 60.0))

    def test_sound_requests_may_be_refused_beside_other_faults_of_servers(self) -> None:
        observations = self.sound_requests(200, 503)
        observations.server_faults.append((19.0, 20.0))
        self.assertEqual([], find_violations(observations, 60.0))


class CrashingRequestTest(testtools.TestCase):
    """A request that comes again must be known after three crashes."""

    def observations(self, crashes: int, late_requests: int) -> Observations:
        """Crashes from 10 s on every 0.1 s, and the same request at 15 s."""
        cause = find_crashing_body(crashing_body(7))
        assert cause is not None
        observations = Observations()
        for number in range(crashes):
            observations.crashes.append(Crash(f"office-{number}", cause, 10.0 + 0.1 * number))
        for number in range(late_requests):
            request = replace(
                _request(f"r{number}", (), 15.0, 502), kind="repeatable", crash_cause=cause
            )
            observations.requests[request.id] = request
            observations.arrivals.append(Arrival(request.id, "office-9", 15.0))
        return observations

    def test_reports_a_request_that_arrives_after_three_crashes(self) -> None:
        (line,) = find_violations(self.observations(3, 4), 30.0)
        self.assertIn("4 requests with 'crashing request 7' reached servers", line)

    def test_it_may_arrive_three_times_after_three_crashes(self) -> None:
        self.assertEqual([], find_violations(self.observations(3, 3), 30.0))
        self.assertEqual([], find_violations(self.observations(2, 9), 30.0))

    def test_bodies_of_other_requests_crash_no_server(self) -> None:
        self.assertIsNone(find_crashing_body(b"w" * 200))


class PromptTest(testtools.TestCase):
    def test_a_crashing_part_is_never_the_last(self) -> None:
        generator = random.Random(1)
        prompts = [draw_crashing_prompt(generator, f"a{n}", _PART) for n in range(50)]
        self.assertEqual({0, 1, 2}, {prompt.index(_PART) for prompt in prompts})
        self.assertEqual(50, len({prompt[-1] for prompt in prompts}))

    def test_parts_are_read_as_they_were_written(self) -> None:
        prompt = draw_sound_prompt(random.Random(1), "a1")
        self.assertEqual(prompt, parse_parts(format_parts(prompt, 500)))
        self.assertIsNone(find_crashing_part(prompt))
        self.assertEqual(_PART, find_crashing_part(("f0", _PART, "01")))
