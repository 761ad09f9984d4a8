"""Requests whose bodies are still being received leave places at backends to complete ones."""

from __future__ import annotations

from dataclasses import replace

import pytest

from embersill.control import Gateway
from embersill.interface import (
    Action, AttemptEnded, BackendList, ListKind, Outcome, Refuse, Send, UploadCompleted,
)
from tests.helpers import PLAN, SETTINGS, backend, request

NOW = 100.0
ROOMY = replace(PLAN, rate=1000.0, burst=2000.0)


def make_gateway(backends: int, gateways: int) -> Gateway:
    gateway = Gateway(replace(SETTINGS, plans=(ROOMY,), gateways=gateways, counter=False), 1, NOW)
    listed = tuple(backend(f"b{number}", number) for number in range(backends))
    gateway.handle(BackendList(ListKind.FULL, listed), NOW)
    return gateway


def ask(gateway: Gateway, number: int, uploading: bool) -> Action:
    asked = replace(request(number, customer=f"c{number}", width=1), uploading=uploading)
    return next(a for a in gateway.handle(asked, NOW) if isinstance(a, Send | Refuse))


@pytest.mark.parametrize(("backends", "gateways"), [(1, 1), (2, 1), (12, 1), (12, 3), (12, 30)])
def test_stalled_uploads_do_not_take_all_places(backends: int, gateways: int) -> None:
    gateway = make_gateway(backends, gateways)
    uploads = [ask(gateway, number, True) for number in range(1, 401)]
    assert isinstance(uploads[0], Send) and isinstance(uploads[-1], Refuse)
    if backends > 1 or gateways == 1:
        assert isinstance(ask(gateway, 1000, False), Send)


def test_a_completed_or_ended_upload_frees_its_share() -> None:
    gateway = make_gateway(1, 1)
    sent = [a for a in (ask(gateway, number, True) for number in range(1, 9)) if isinstance(a, Send)]
    assert isinstance(ask(gateway, 20, True), Refuse)
    gateway.handle(UploadCompleted(sent[0].request), NOW)
    assert isinstance(ask(gateway, 21, True), Send)
    assert isinstance(ask(gateway, 22, True), Refuse)
    gateway.handle(AttemptEnded(
        sent[1].request, 0, sent[1].backend, Outcome.CANCELLED, 0.1, True, 0.0, ()), NOW)
    assert isinstance(ask(gateway, 23, True), Send)
    assert gateway.uploads == sum(server.uploads for server in gateway.servers.values())
