"""Decisions of the balancer on a request whose body is still being received."""

from __future__ import annotations

from helpers import KEYED, SAFE, UNSAFE, BalancerHarness, fleet, settings

from zinclever import interface


def begin_upload(klass: interface.RequestClass, n: int = 4) -> BalancerHarness:
    """Return a harness with one request, ``up``, whose body is still being received."""
    s = BalancerHarness(settings(klass), fleet(n))
    s.feed(interface.RequestArrived("up", 0, s.now + 600_000.0, uploading=True))
    return s


def test_upload_is_sent_immediately_and_counts_as_in_flight_from_its_end() -> None:
    """Guards against taking an upload for a silent or overloaded server: it is not in flight until its end."""
    s = begin_upload(SAFE)
    (send,) = s.sends("up")
    s.wait(5000.0)
    assert s.sends("up") == [send] and not s.actions_of(interface.Cancel) and not s.final_answers("up")
    assert s.b.endpoint_list.inflight() == 0 and s.b.endpoint_list.endpoints[send.endpoint].silence(s.now) == 0.0
    s.feed(interface.UploadEnded("up", s.now + 500.0))
    assert s.b.endpoint_list.inflight() == 1 and s.sends("up") == [send]
    s.wait(50.0)
    s.feed(interface.AttemptEnded("up", 0, send.endpoint, "served", 50.0, True))
    assert s.b.endpoint_list.inflight() == 0 and "up" not in s.b.requests


def test_safe_upload_is_hedged_after_its_end() -> None:
    s = begin_upload(SAFE)
    s.serve(60)  # the balancer has latencies of the class
    s.wait(2000.0)
    assert len(s.sends("up")) == 1
    s.feed(interface.UploadEnded("up", s.now + 500.0))
    s.wait(100.0)  # the hedging delay is 72 ms
    assert len(s.sends("up")) == 2


def test_dropped_upload_is_retried_and_one_attempt_is_kept_for_its_end() -> None:
    s = begin_upload(UNSAFE)
    for n in range(3):
        s.feed(interface.AttemptEnded("up", n, s.sends("up")[n].endpoint, "dropped", 900.0, False))
    assert len(s.sends("up")) == 3 and not s.final_answers("up")  # of four attempts
    s.feed(interface.UploadEnded("up", s.now + 500.0))
    assert len(s.sends("up")) == 4
    s.feed(interface.AttemptEnded("up", 3, s.sends("up")[3].endpoint, "dropped", 1.0, False))
    assert isinstance(s.final_answers("up")[0], interface.Refuse)


def test_upload_that_may_have_been_executed_is_not_retried() -> None:
    """An error response to an incomplete body doesn't prove that nothing was executed."""
    for klass, final in ((UNSAFE, interface.Fail), (KEYED, interface.Refuse)):
        s = begin_upload(klass)
        s.feed(interface.AttemptEnded("up", 0, s.sends("up")[0].endpoint, "error", 900.0, False))
        assert len(s.sends("up")) == 1 and isinstance(s.final_answers("up")[0], final)
        s.feed(interface.UploadEnded("up", s.now + 500.0))
        assert len(s.sends("up")) == 1 and len(s.final_answers("up")) == 1


def test_disconnected_client_cancels_the_attempt() -> None:
    s = begin_upload(UNSAFE)
    s.feed(interface.RequestClosed("up"))
    assert s.actions_of(interface.Cancel) == [interface.Cancel("up", 0)]
    s.feed(interface.AttemptEnded("up", 0, s.sends("up")[0].endpoint, "not_sent", 0.0, True))
    assert (
        s.b.endpoint_list.inflight() == 0
        and not s.b.requests
        and all(e.inflight == 0 for e in s.b.endpoint_list.endpoints.values())
    )
    s.feed(interface.UploadEnded("up", s.now + 500.0))
    assert len(s.sends("up")) == 1


def test_upload_without_endpoints_waits_for_its_end() -> None:
    s = begin_upload(SAFE, n=0)
    assert not s.sends("up") and not s.final_answers("up")
    s.feed(interface.MembershipUpdate("whole", fleet(2)))
    s.feed(interface.UploadEnded("up", s.now + 500.0))
    assert len(s.sends("up")) == 1
