"""The decisions on a request whose body is still coming in."""

from __future__ import annotations

from helpers import KEYED, SAFE, UNSAFE, BalancerHarness, fleet, settings

from zinclever import interface


def begun(klass: interface.RequestClass, n: int = 4) -> BalancerHarness:
    s = BalancerHarness(settings(klass), fleet(n))
    s.feed(interface.RequestArrived("up", 0, s.now + 600_000.0, uploading=True))
    return s


def test_it_is_placed_at_once_and_counts_from_its_end() -> None:
    """Guards against an upload that looks like a server's silence or a crowd: nothing is in flight until its end."""
    s = begun(SAFE)
    (send,) = s.sends("up")
    s.wait(5000.0)
    assert s.sends("up") == [send] and not s.of(interface.Cancel) and not s.finals("up")
    assert s.b.endpoint_list.inflight() == 0 and s.b.endpoint_list.endpoints[send.endpoint].silence(s.now) == 0.0
    s.feed(interface.UploadEnded("up", s.now + 500.0))
    assert s.b.endpoint_list.inflight() == 1 and s.sends("up") == [send]
    s.wait(50.0)
    s.feed(interface.AttemptEnded("up", 0, send.endpoint, "served", 50.0, True))
    assert s.b.endpoint_list.inflight() == 0 and "up" not in s.b.requests


def test_a_safe_one_gets_its_copy_after_its_end() -> None:
    s = begun(SAFE)
    s.serve(60)  # the window is known
    s.wait(2000.0)
    assert len(s.sends("up")) == 1
    s.feed(interface.UploadEnded("up", s.now + 500.0))
    s.wait(100.0)  # the delay is 72 ms
    assert len(s.sends("up")) == 2


def test_what_never_ran_goes_again_and_leaves_one_attempt_for_the_end() -> None:
    s = begun(UNSAFE)
    for n in range(3):
        s.feed(interface.AttemptEnded("up", n, s.sends("up")[n].endpoint, "dropped", 900.0, False))
    assert len(s.sends("up")) == 3 and not s.finals("up")  # of four
    s.feed(interface.UploadEnded("up", s.now + 500.0))
    assert len(s.sends("up")) == 4
    s.feed(interface.AttemptEnded("up", 3, s.sends("up")[3].endpoint, "dropped", 1.0, False))
    assert isinstance(s.finals("up")[0], interface.Refuse)


def test_what_may_have_run_is_not_sent_again() -> None:
    """An answer of an error to half a body is odd, and still no proof."""
    for klass, final in ((UNSAFE, interface.Fail), (KEYED, interface.Refuse)):
        s = begun(klass)
        s.feed(interface.AttemptEnded("up", 0, s.sends("up")[0].endpoint, "error", 900.0, False))
        assert len(s.sends("up")) == 1 and isinstance(s.finals("up")[0], final)
        s.feed(interface.UploadEnded("up", s.now + 500.0))
        assert len(s.sends("up")) == 1 and len(s.finals("up")) == 1


def test_a_client_that_leaves_ends_the_attempt() -> None:
    s = begun(UNSAFE)
    s.feed(interface.RequestClosed("up"))
    assert s.of(interface.Cancel) == [interface.Cancel("up", 0)]
    s.feed(interface.AttemptEnded("up", 0, s.sends("up")[0].endpoint, "not_sent", 0.0, True))
    assert (
        s.b.endpoint_list.inflight() == 0
        and not s.b.requests
        and all(e.inflight == 0 for e in s.b.endpoint_list.endpoints.values())
    )
    s.feed(interface.UploadEnded("up", s.now + 500.0))
    assert len(s.sends("up")) == 1


def test_without_an_endpoint_it_waits_for_its_end() -> None:
    s = begun(SAFE, n=0)
    assert not s.sends("up") and not s.finals("up")
    s.feed(interface.MembershipUpdate("whole", fleet(2)))
    s.feed(interface.UploadEnded("up", s.now + 500.0))
    assert len(s.sends("up")) == 1
