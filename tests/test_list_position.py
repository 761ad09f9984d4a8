"""Which of two lists is the newer one, where they come from different processes, discoveries and times."""

from __future__ import annotations

import time

import pytest

from embersill.interface import ListKind
from embersill.net.list_exchange import choose_initial_list
from embersill.net.list_position import (
    ListPosition, ListSnapshot, ListSource, choose_predecessor_list,
)
from embersill.net.listing import Address, Listing, read_entry
from tests.peers import entry

HERE: tuple[Address, ...] = (("127.0.0.1", 8500),)
ELSEWHERE: tuple[Address, ...] = (("127.0.0.1", 8600),)


def told(
    generation: int, requested_at: float, received_at: float, highest: int = 0,
    discovery: tuple[Address, ...] = HERE,
) -> ListPosition:
    return ListPosition(generation, max(generation, highest), discovery, requested_at, received_at)


def configured(generation: int, discovery: tuple[Address, ...] = HERE) -> ListPosition:
    return ListPosition(generation, generation, discovery)


@pytest.mark.parametrize(("newer", "older"), [
    (told(5, 10.0, 11.0), told(4, 1.0, 2.0)),
    (told(5, 10.0, 11.0), told(4, 10.5, 10.6)),  # asked for at the same time: the higher generation
    (told(3, 10.0, 11.0), told(41, 1.0, 9.9)),  # discovery has started again in the meantime
    (told(3, 10.0, 11.0, highest=41), configured(41)),  # a configuration of the time before that
    (told(41, 10.0, 11.0), configured(41)),
    (configured(42), told(41, 10.0, 11.0)),  # written later than all that was told
    (configured(42), configured(41)),
])
def test_the_newer_of_two_lists_from_one_discovery(newer: ListPosition, older: ListPosition) -> None:
    assert newer.is_newer_than(older) and not older.is_newer_than(newer)


@pytest.mark.parametrize(("own", "predecessor", "is_doubtful"), [
    (told(4, 5.0, 5.1), told(5, 1.0, 2.0), True),
    (told(5, 5.0, 5.1), told(5, 1.0, 2.0), False),
    (told(6, 5.0, 5.1), told(5, 1.0, 2.0), False),
    (told(4, 5.0, 5.1), told(5, 1.0, 6.0), False),  # the predecessor's may be the later one
    (told(4, 5.0, 5.1), told(5, 1.0, 2.0, discovery=ELSEWHERE), False),
    (told(4, 5.0, 5.1), configured(5), False),
    (configured(4), told(5, 1.0, 2.0), False),
])
def test_a_later_answer_of_a_lower_generation_is_doubtful(
    own: ListPosition, predecessor: ListPosition, is_doubtful: bool
) -> None:
    assert own.is_doubtful_after(predecessor) is is_doubtful


def test_a_list_is_not_newer_than_itself() -> None:
    for position in (told(5, 10.0, 11.0), configured(5)):
        assert not position.is_newer_than(position)


@pytest.mark.parametrize(("predecessor", "own", "is_predecessor"), [
    (told(2, 1.0, 2.0), configured(1), True),
    (told(2, 1.0, 2.0), configured(9), False),
    (told(2, 1.0, 2.0), told(2, 5.0, 5.1), False),  # discovery has answered the successor
    (told(2, 1.0, 2.0), told(1, 5.0, 5.1), True),  # with a lower generation, which is to be confirmed
    (told(2, 1.0, 2.0, highest=9), told(3, 5.0, 5.1), False),
    (told(9, 5.0, 6.0), told(8, 5.0, 5.1), True),
    (told(9, 5.0, 6.0, discovery=ELSEWHERE), configured(99), True),  # a configuration may be out of date
    (told(9, 5.0, 6.0, discovery=ELSEWHERE), told(1, 5.0, 5.1), False),
    (told(9, 5.0, 6.0, discovery=ELSEWHERE), told(8, 1.0, 2.0, discovery=ELSEWHERE), True),
    (configured(3), configured(3), False),
])
def test_which_list_a_successor_goes_by(
    predecessor: ListPosition, own: ListPosition, is_predecessor: bool
) -> None:
    assert choose_predecessor_list(predecessor, own, HERE) is is_predecessor


def test_the_highest_generation_is_that_of_one_discovery() -> None:
    start = told(41, 1.0, 2.0)
    again = start.advanced(3, HERE, 3.0, 4.0)
    assert (again.generation, again.highest) == (3, 41)
    moved = again.advanced(2, ELSEWHERE, 5.0, 6.0)
    assert (moved.generation, moved.highest) == (2, 2)


def snapshot(position: ListPosition) -> ListSnapshot:
    made = read_entry(entry("logged", "127.0.0.1:9"))
    return ListSnapshot(position, {made.backend.address: made})


KNOWN = Listing(ListKind.CACHED, 5, (read_entry(entry("known", "127.0.0.1:9")),))


@pytest.mark.parametrize(("logged", "source", "addresses"), [
    (None, ListSource.CONFIGURATION, HERE),
    (told(6, 1.0, 2.0), ListSource.LIST_LOG, HERE),
    (told(4, 1.0, 2.0), ListSource.CONFIGURATION, HERE),
    (told(6, 1.0, 2.0, discovery=ELSEWHERE), ListSource.CONFIGURATION, HERE),  # of another gateway
    # of this one, which SIGHUP told to look elsewhere, as the configuration file says
    (told(6, 1.0, 2.0)._replace(reloaded_to=ELSEWHERE), ListSource.LIST_LOG, ELSEWHERE),
])
def test_a_process_starts_with_the_newest_list_of_this_gateway(
    logged: ListPosition | None, source: ListSource, addresses: tuple[Address, ...]
) -> None:
    initial = choose_initial_list(KNOWN, HERE, addresses, None if logged is None else snapshot(logged))
    assert (initial.source, initial.addresses) == (source, addresses)
    expected = ["known"] if source is ListSource.CONFIGURATION else ["logged"]
    assert [e.backend.address for e in initial.listing().entries] == expected


def test_the_age_of_a_list_is_told_if_it_is_known() -> None:
    now = time.monotonic()
    age = told(5, now - 3.0, now - 2.0).age()
    assert age is not None and 2.0 <= age < 10.0
    assert configured(5).age() is None
