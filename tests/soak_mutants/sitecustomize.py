# mypy: ignore-errors
# (it replaces methods of the gateway by other functions)
"""Imported by Python at the start of a gateway: plants the fault that SOAK_MUTANT names.

Only gateways started by tests/soak_mutants/__main__.py and test_soak.py have this folder on their path.
"""

from __future__ import annotations

import os
import sys


def plant(name: str) -> None:
    """Replaces functions of the gateway so that it shows the fault."""
    from embersill import control
    from embersill.interface import Outcome, BackendStatus
    from embersill.net import backends, clients, discovery, driver, pool
    from embersill.serving_set import ServingSet

    count = {"n": 0}

    def every(times: int) -> bool:
        count["n"] += 1
        return count["n"] % times == 0

    if name == "sends to what drains":
        apply_entry = control.Gateway.apply_entry

        def keeps_draining(self, backend):
            if backend.status is BackendStatus.SERVING or self.servers.get(backend.address) is None:
                apply_entry(self, backend)

        control.Gateway.apply_entry = keeps_draining
        pool.Pool.retire = lambda self, backend: None
        pool.Pool.retire_unlisted = lambda self, known: None
    elif name == "stops following the list":
        run = discovery.Discovery.run

        async def follows_once(self):
            self.has_responded.set()
            if not self.newest_generation:
                await run(self)

        discovery.Discovery.run = follows_once
    elif name == "goes on for clients that left":
        driver.Driver.on_client_disconnected = lambda self, number: None
        driver.Driver.is_abandoned = lambda self, pending: pending.ended
    elif name == "tells backends more time":
        assign = pool.Pool.assign

        def adds_to_budget(self, backend_pool, connection, attempt):
            send, connection.send = connection.send, lambda a, wait: send(a, wait + 1.0)
            assign(self, backend_pool, connection, attempt)
            del connection.send

        pool.Pool.assign = adds_to_budget
    elif name == "sends two copies":
        start = backends.Dialer.start

        def starts_two(self, attempt):
            if every(20):
                copy = backends.Attempt(
                    attempt.backend,
                    attempt.head,
                    attempt.body,
                    attempt.sent_at,
                    attempt.until,
                    lambda a, answer: None,
                    lambda a, headers, length: None,
                )
                start(self, copy)
            start(self, attempt)

        backends.Dialer.start = starts_two
    elif name == "takes every failure for harmless":
        Outcome.never_ran = property(lambda self: True)
    elif name == "repeats keyed requests anywhere":
        control.group_of = lambda request_class, server: ""
        ServingSet.group = lambda self, scope, key: self.all.items
    elif name == "changes answers":
        finish = driver.Driver.finish

        def changes_body(self, pending, status=0, body=b"", headers=b"", reason=""):
            finish(self, pending, status, body[:-1] if status == 200 and every(20) else body, headers, reason)

        driver.Driver.finish = changes_body
    elif name == "forgets to answer":
        refuse = driver.Driver.refuse
        driver.Driver.fail_unanswered = lambda self, pending: None
        driver.Driver.refuse = lambda self, action: None if every(2) else refuse(self, action)
    elif name == "closes without an answer":
        answer = clients.Exchange.answer

        def closes(self, status, body, headers=b""):
            if status == 200 and self.number and every(40):
                self.connection.reset()
            else:
                answer(self, status, body, headers)

        clients.Exchange.answer = closes
    elif name == "crashes":
        accept_request = driver.Driver.accept_request

        def crashes(self, request, exchange):
            if every(120):
                os._exit(1)
            return accept_request(self, request, exchange)

        driver.Driver.accept_request = crashes
    elif name == "takes cold backends for warm":
        control.Server.capacity_share = lambda self, now, settings: 1.0
    elif name == "passes ceilings":
        refill = control.Throttle.refill

        def unbounded(self, now):
            refill(self, now)
            self.ceiling_level, self.quota_level = 1e6, max(self.quota_level, self.bank)

        control.Throttle.refill = unbounded
    elif name == "serves nobody":
        control.Gateway.should_shed = lambda self, job: True
    elif name == "leaks descriptors":
        start_connection = clients.ClientServer.start_connection

        def leaks(self, sock, *arguments):
            for _ in range(20):
                try:
                    os.dup(sock.fileno())
                except OSError:
                    break
            start_connection(self, sock, *arguments)

        clients.ClientServer.start_connection = leaks
    elif name == "leaks memory":
        kept, accept_request = [], driver.Driver.accept_request

        def keeps(self, request, exchange):
            kept.append(bytearray(os.urandom(64)) * 16384)
            return accept_request(self, request, exchange)

        driver.Driver.accept_request = keeps
    elif name == "waits for half requests for ever":
        clients.ClientConnection.check_timeouts = lambda self, now: None
    elif name == "drops all at SIGTERM":
        set_attribute = clients.ClientServer.__setattr__

        def ends(self, name, value):
            set_attribute(self, name, value)
            if name == "stopping" and value:
                os._exit(0)

        clients.ClientServer.__setattr__ = ends
    else:
        raise ValueError(f"no mutant {name!r}")


if os.environ.get("SOAK_MUTANT"):
    sys.path.insert(0, os.getcwd())
    plant(os.environ["SOAK_MUTANT"])
