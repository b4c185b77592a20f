"""Scripted targets and callers around a real forwarder."""

import asyncio
import contextlib
import random

import msgspec

from carobslip import (
    clocks,
    configuration,
    crashes,
    forwarding,
    guard,
    identifiers,
    observability,
    targets,
)

SERVICE = identifiers.ServiceId('drafts')
DESK = identifiers.ServiceId('desk')
KEY = 'key-of-anna'
TEAM = identifiers.TeamId('anna')


class FakeAnswer:
    """A target's answer, in parts; ``broken`` ends it with a reset.

    A number among the parts is a pause in seconds.
    """

    def __init__(
        self,
        *,
        status=200,
        parts=(b'whole',),
        broken=False,
        has_not_run=False,
        is_other_target=False,
        is_event_stream=False,
        load=None,
        rate_limits=(),
        is_leaving=False,
        retry_after=None,
        part_pause_s=0.01,
    ):
        self.head = forwarding.AnswerHead(
            status=status,
            headers=(('X-Digest', f'{status}'),),
        )
        self._parts = parts
        self._broken = broken
        self._part_pause_s = part_pause_s
        self.has_not_run = has_not_run
        self.is_other_target = is_other_target
        self.is_event_stream = is_event_stream
        self.load = load
        self.rate_limits = rate_limits
        self.is_leaving = is_leaving
        self.retry_after = retry_after
        self.target_at_fault = None

    async def chunks(self):
        for part in self._parts:
            if isinstance(part, float):
                await asyncio.sleep(part)
                continue
            await asyncio.sleep(self._part_pause_s)
            yield part
        if self._broken:
            raise guard.TargetLost('reset')


def numbered(*numbers):
    """Returns the bytes of numbered events."""
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in numbers)


def events(*numbers):
    """Returns an answer that streams numbered events."""
    parts = tuple(numbered(number) for number in numbers)
    return FakeAnswer(parts=parts, is_event_stream=True)


def events_with_pauses(*steps):
    """Returns a stream of numbered events; a float is a pause in seconds."""
    answer = events()
    answer._parts = tuple(
        step if isinstance(step, float) else b'id: %d\ndata: x\n\n' % step
        for step in steps
    )
    return answer


def broken_events(*numbers, rest=b''):
    """Returns a stream that breaks off after some events and ``rest``."""
    answer = events(*numbers)
    answer._parts += (rest,)
    answer._broken = True
    return answer


class FakePort:
    """Answers calls by a script, and records calls, runs and cancellations."""

    def __init__(self, script):
        self.script = script
        self.calls = []
        self.runs = []
        self.cancelled = []

    async def is_gone(self, record):
        return False

    @contextlib.asynccontextmanager
    async def call(self, call):
        self.calls.append(call)
        step = self.script.pop(0) if self.script else FakeAnswer()
        try:
            await asyncio.sleep(0.005)
            if step == 'refused connection':
                raise guard.TargetNotReached('refused')
            if step == 'hangs':
                self.runs.append(call.request.request_id)
                await asyncio.sleep(1000)
            if step == 'lost':
                self.runs.append(call.request.request_id)
                raise guard.TargetLost('reset')
            if not step.has_not_run and not step.is_other_target:
                self.runs.append(call.request.request_id)
            yield step
        except asyncio.CancelledError:
            self.cancelled.append(call.target)
            raise


class FakeCaller:
    """Collects the answer to one request."""

    def __init__(self):
        self.head = None
        self.body = b''
        self.is_whole = False

    async def answer(self, head, body):
        self.head = head
        self.body = body
        self.is_whole = True

    async def begin(self, head):
        assert self.head is None
        self.head = head

    async def write(self, content):
        self.body += content

    async def end(self):
        self.is_whole = True


def table(**changes):
    """Returns a forwarding table with one route of each kind."""
    common = {'timeout_ms': 8000, 'objective_ms': 500, 'attempts_max': 2}
    kinds = configuration.RequestKind

    def route(name, kind, service=SERVICE, **more):
        return configuration.Route(
            name=name,
            host='host.example',
            prefix=f'/{name}/',
            kind=kind,
            services=(
                configuration.WeightedService(service=service, weight=1),
            ),
            **{**common, **more},
        )

    content = {
        'routes': (
            route('look', kinds.IDEMPOTENT, DESK),
            route('book', kinds.NON_IDEMPOTENT, DESK),
            route('note', kinds.STREAM, resumable=True),
            route('once', kinds.STREAM),
            route('open', kinds.IDEMPOTENT, DESK, public=True),
        ),
        'services': (
            configuration.ForwardedService(service=SERVICE),
            configuration.ForwardedService(service=DESK),
        ),
        'teams': (configuration.Team(team=TEAM, api_keys=(KEY,)),),
    }
    return configuration.Forwarding(**{**content, **changes})


def contended_table():
    """Returns a table whose streams differ in priority."""
    plain = table()
    return table(
        routes=tuple(
            msgspec.structs.replace(route, priority=2)
            if route.name == 'note'
            else route
            for route in plain.routes
        ),
        services=(
            configuration.ForwardedService(
                service=SERVICE, engine=configuration.EngineFigures(slots=4)
            ),
            configuration.ForwardedService(service=DESK),
        ),
    )


class Entry:
    """A forwarder with fakes around it, on the loop's clock.

    ``age_s`` is the age of its process.
    """

    def __init__(
        self,
        script=(),
        *,
        held=None,
        out=(),
        count=2,
        slots=4,
        age_s=60,
        port=None,
        slots_port=None,
    ):
        self.clock = clocks.LoopClock(epoch_ms=0)
        self.log = observability.EventLog()
        self.holder = configuration.Holder(clock=self.clock)
        self.port = port or FakePort(list(script))
        self.book = targets.TargetRegistry(clock=self.clock, log=self.log)
        self.loads = forwarding.LoadTracker(
            clock=self.clock,
            generator=random.Random(1),
            data_centre=identifiers.DataCentreId('east'),
        )
        self.entries = 1
        self.known = lambda: range(self.entries)
        self.is_current = True
        self.budget = forwarding.RepeatBudget(
            bounds=forwarding.RepeatBounds(ratio=0.2, extra=20, window_s=10),
            entries=lambda: self.known(),
            clock=self.clock,
            started_ms=self.clock.now_ms() - age_s * 1000,
        )
        self.ledger = crashes.CrashLedger(clock=self.clock, log=self.log)
        self.consult = _consult_nobody
        self.position = lambda _parts: 0
        self.issuer = forwarding.PermitIssuer(clock=self.clock)
        self.permit_port = LocalPermits(self.issuer)
        self.crash_watch = forwarding.CrashWatch(
            ledger=self.ledger,
            gate=crashes.PromptGate(
                ledger=self.ledger,
                clock=self.clock,
                position=lambda parts: self.position(parts),
            ),
            registry=self.book,
            port=self.port,
            consult=lambda: self.consult(),
        )
        self.crash_watch.note_informed()
        self.forwarder = forwarding.Forwarder(
            holder=self.holder,
            registry=self.book,
            loads=self.loads,
            port=self.port,
            fleet=forwarding.FleetView(
                entries=lambda: self.entries,
                is_current=lambda: self.is_current,
            ),
            rules=forwarding.ForwardingRules(key_age_max_ms=4500),
            crash_watch=self.crash_watch,
            shared=forwarding.SharedLimits(
                budget=self.budget,
                permits=forwarding.PermitGate(
                    limits=forwarding.RateLimits(
                        clock=self.clock, log=self.log
                    ),
                    port=self.permit_port,
                    clock=self.clock,
                ),
                slots=slots_port,
            ),
            context=forwarding.ProcessContext(
                clock=self.clock,
                generator=random.Random(2),
                log=self.log,
                metrics=observability.NoMetrics(),
            ),
        )
        self.list_targets(count, slots)
        if held is not None:
            self.adopt(held, out)

    def list_targets(self, count, slots=4):
        self.book.apply(
            targets.TargetSnapshot(
                records=tuple(
                    record(f'{service}-{number}', service, slots=slots)
                    for service in (SERVICE, DESK)
                    for number in range(count)
                ),
                revision=1,
            ),
        )

    def adopt(self, forwarding_table, out=(), version=1):
        document = configuration.Configuration(
            version=version,
            forwarding=forwarding_table,
            out=out,
        )
        text = configuration.to_text(document)
        self.holder.offer(text, source='test')
        self.holder.confirm(self.clock.now_ms())
        self.forwarder.apply_configuration()

    def request(self, path, **changes):
        content = {
            'request_id': identifiers.RequestId('r1'),
            'host': 'host.example',
            'path': path,
            'method': 'POST',
            'headers': (),
            'body': b'{}',
            'api_key': KEY,
            'arrived_ms': self.clock.now_ms(),
            'patience_ms': 8000,
        }
        return forwarding.ForwardRequest(**{**content, **changes})

    async def send(self, path, **changes):
        """Forwards one request; returns outcome and caller."""
        caller = FakeCaller()
        outcome = await self.forwarder.forward(
            self.request(path, **changes),
            caller,
        )
        return outcome, caller


class LocalPermits:
    """Issues permits without asking another entry, unless a test sets one."""

    def __init__(self, issuer):
        self.issuer = issuer
        self.exchange = None

    async def ask(self, target, limit):
        if self.exchange is not None:
            return await self.exchange.ask(target, limit)
        return self.issuer.issue(target, limit)


def unlimited(clock):
    """Returns permits of an entry whose targets name no rate."""
    return forwarding.PermitGate(
        limits=forwarding.RateLimits(clock=clock, log=observability.EventLog()),
        port=LocalPermits(forwarding.PermitIssuer(clock=clock)),
        clock=clock,
    )


async def _consult_nobody():
    """Default of an entry without peers."""


def pending_request(path='/look/x'):
    """Returns a request that has a route and a service."""
    entry = Entry(held=table())
    return entry.forwarder._prepare(entry.request(path), FakeCaller())


def record(name, service, **changes):
    """Returns the record of a target in the target list."""
    content = {
        'target': identifiers.TargetId(name),
        'service': service,
        'address': f'{name}:1',
        'data_centre': identifiers.DataCentreId('east'),
        'slots': 4,
        'state': targets.TargetState.READY,
    }
    return targets.TargetRecord(**{**content, **changes})
