"""Fetching from peers that misbehave, die or keep changing."""

import asyncio

from carobslip import clocks, configuration, control
from carobslip.control import _fetcher, _package_cache
from tests.fakes import cluster as clusters
from tests.fakes import virtual

#: A process applies a new configuration within this time.
APPLY_S = 3.0


class Peer:
    """Serves its published document, or a part that the test sets."""

    def __init__(self, clock):
        self.holder = configuration.Holder(clock=clock)
        self.packages = _package_cache.PackageCache(holder=self.holder)
        self.is_dead = False
        self.part = None
        self.asked = 0

    def publish(self, version, *, revision=0, **more):
        text = text_of(version, **more)
        self.holder.offer(text, source='test', revision=revision)


def text_of(version, **more):
    document = configuration.Configuration(version=version, **more)
    return configuration.to_text(document)


class Scene:
    """A fetching process and its peers."""

    def __init__(self, *, pause_ms=0.0, answer_s=0.002):
        self.answer_s = answer_s
        self.clock = clocks.LoopClock(epoch_ms=clusters.EPOCH_MS)
        self.holder = configuration.Holder(clock=self.clock)
        self.peers = {}
        self.log = clusters.RecordingLog()
        self.fetcher = _fetcher.ConfigurationFetcher(
            holder=self.holder,
            ask=self._ask,
            log=self.log,
            pause_ms=pause_ms,
        )

    def add(self, address, version=1):
        peer = Peer(self.clock)
        peer.publish(version)
        self.peers[address] = peer
        return peer

    def note(self, address):
        self.fetcher.note(address, self.peers[address].holder.order)

    async def _ask(self, address, request, timeout_ms):
        peer = self.peers[address]
        peer.asked += 1
        if peer.is_dead:
            await asyncio.sleep(timeout_ms / 1000)
            raise control.PeerUnreachable(address)
        answer = peer.part or peer.packages.find_part(request)
        await asyncio.sleep(self.answer_s)
        return answer


def test_peer_that_sends_empty_parts_is_abandoned():
    async def scenario():
        scene = Scene()
        bad = scene.add('bad', 2)
        scene.add('good', 2)
        bad.part = control.ConfigurationPart(
            version=2,
            digest=bad.holder.order.digest,
            size_bytes=100_000,
        )
        scene.note('bad')
        await asyncio.sleep(0.01)
        scene.note('good')
        await asyncio.sleep(APPLY_S)
        assert scene.holder.version == 2
        assert bad.asked < 10
        scene.fetcher.close()

    virtual.run(scenario)


def test_document_that_is_published_again_is_fetched_again():
    out = (
        configuration.Withdrawal(
            reason='taken out by a test', data_centre='leeds'
        ),
    )

    async def scenario():
        scene = Scene()
        peer = scene.add('one', 2)
        for revision, withdrawn in enumerate(((), out, (), out), start=1):
            peer.publish(2, revision=revision, out=withdrawn)
            scene.note('one')
            await asyncio.sleep(0.1)
            assert scene.holder.order == peer.holder.order
            assert scene.holder.configuration.out == withdrawn

    virtual.run(scenario)


def test_peer_that_sends_parts_out_of_order_is_abandoned():
    async def scenario():
        scene = Scene()
        bad = scene.add('bad', 2)
        scene.add('good', 2)
        bad.part = control.ConfigurationPart(
            version=2,
            digest=bad.holder.order.digest,
            size_bytes=100_000,
            offset=5,
            content=b'x' * 10,
        )
        scene.note('bad')
        await asyncio.sleep(0.01)
        scene.note('good')
        await asyncio.sleep(APPLY_S)
        assert scene.holder.version == 2
        assert bad.asked < 10
        scene.fetcher.close()

    virtual.run(scenario)


def test_invalid_documents_are_fetched_only_once_each(
    monkeypatch,
):
    async def scenario():
        scene = Scene()
        one = scene.add('one', 2)
        two = scene.add('two', 3)
        monkeypatch.setattr(
            scene.holder,
            'offer',
            lambda text, **_fields: configuration.Adoption.INVALID,
        )
        for _ in range(20):
            scene.note('one')
            await asyncio.sleep(0.1)
            scene.note('two')
            await asyncio.sleep(0.1)
        assert one.asked == 1
        assert two.asked == 1

    virtual.run(scenario)


def test_start_does_not_wait_for_versions_announced_during_the_wait():
    async def scenario():
        scene = Scene(answer_s=0.4)
        peer = scene.add('peer', 2)
        scene.note('peer')

        async def publish():
            for version in range(3, 200):
                await asyncio.sleep(0.3)
                peer.publish(version)
                scene.note('peer')

        publishing = asyncio.ensure_future(publish())
        async with asyncio.timeout(APPLY_S):
            await scene.fetcher.finish()
        assert scene.holder.version >= 2
        publishing.cancel()
        scene.fetcher.close()

    virtual.run(scenario)


def test_dead_peers_do_not_delay_a_version_that_a_live_peer_holds():
    async def scenario():
        scene = Scene(pause_ms=1000.0)
        for number in range(12):
            scene.add(f'dead-{number}', 2).is_dead = True
            scene.note(f'dead-{number}')
        scene.add('living', 2)
        await asyncio.sleep(0.1)
        scene.note('living')
        await asyncio.sleep(APPLY_S - 0.1)
        assert scene.holder.version == 2
        scene.fetcher.close()

    virtual.run(scenario)


def test_closed_fetcher_starts_no_transfer():
    async def scenario():
        scene = Scene()
        peer = scene.add('peer', 2)
        scene.note('peer')
        scene.fetcher.close()
        await asyncio.sleep(0.1)
        scene.note('peer')
        await asyncio.sleep(0.1)
        assert peer.asked == 0

    virtual.run(scenario)
