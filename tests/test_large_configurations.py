"""Configurations whose transfer takes a noticeable share of a link."""

import asyncio
import random

import pytest

from carobslip import control, observability
from tests.fakes import host as hosts
from tests.fakes import network as networks
from tests.test_unlisted_fleet import Unlisted

#: Bandwidth of an entry's and of a guard's link.
ENTRY_BYTES_PER_S = 2_500_000
GUARD_BYTES_PER_S = 500_000
#: An accepted configuration is in force in all processes within this time.
IN_FORCE_S = 3


def document(version, *, routes):
    chance = random.Random(version)
    hosts_named = [f'{chance.getrandbits(40):x}.example' for _ in range(9)]
    return {
        'kind': 'configuration',
        'version': version,
        'forwarding': {
            'operators_version': version,
            'routes': [
                {
                    'name': f'r-{number}',
                    'host': chance.choice(hosts_named),
                    'prefix': f'/{chance.getrandbits(32):x}/',
                    'kind': 'stream',
                    'services': [{'service': 'drafting', 'weight': 1}],
                    'timeout_ms': 8000,
                    'objective_ms': 500,
                    'attempts_max': 2,
                    'resumable': True,
                }
                for number in range(routes)
            ],
            'services': [
                {
                    'service': 'drafting',
                    'connections_max': 690,
                    'engine': {'slots': 5, 'expert_sets': 12},
                }
            ],
            'teams': [{'team': 'north', 'api_keys': ['one', 'two']}],
        },
    }


class BandwidthLimitedFleet(Unlisted):
    """A fleet whose processes have links of limited bandwidth."""

    async def add(self, name, **changes):
        is_entry = name.startswith('entry')
        self.network.links.setdefault(
            name,
            networks.Link(
                ENTRY_BYTES_PER_S if is_entry else GUARD_BYTES_PER_S,
            ),
        )
        return await super().add(name, **changes)

    def versions(self):
        return {self.members[name].holder.version for name in self.living()}

    def carried_bytes(self, kind):
        return {
            name: link.carried_bytes
            for name, link in self.network.links.items()
            if name.startswith(kind)
        }

    def wrongly_marked_dead(self):
        """Returns live members that another member has marked dead."""
        return {
            fields['member']
            for name in self.living()
            for event, fields in self.members[name].log.events
            if event is observability.Event.MEMBER_CHANGED
            and fields['state'] == control.MemberState.DEAD.value
        }


async def settled_fleet(*, routes):
    scene = BandwidthLimitedFleet(entries=20, guards=24)
    scene.platform.publish(document(2, routes=routes))
    await scene.start()
    await asyncio.sleep(6)
    assert scene.versions() == {2}
    return scene


@pytest.mark.parametrize('routes', [240, 1400])
@hosts.virtual
async def test_large_configuration_is_in_force_in_time_without_false_deaths(
    routes,
):
    scene = await settled_fleet(routes=240)
    scene.platform.publish(document(3, routes=routes))
    await asyncio.sleep(IN_FORCE_S)
    assert scene.versions() == {3}
    assert not scene.wrongly_marked_dead()


@hosts.virtual
async def test_rapid_version_changes_do_not_saturate_links():
    scene = await settled_fleet(routes=1400)
    before = scene.carried_bytes('guard')
    for version in range(3, 28):
        scene.platform.publish(document(version, routes=1400))
        await asyncio.sleep(0.08)
    await asyncio.sleep(IN_FORCE_S)
    assert scene.versions() == {27}
    assert not scene.wrongly_marked_dead()
    taken = scene.carried_bytes('guard')
    for name, carried in taken.items():
        share = (carried - before[name]) / (5 * GUARD_BYTES_PER_S)
        assert share < 0.1, name


@hosts.virtual
async def test_processes_that_restart_together_get_a_large_configuration():
    scene = await settled_fleet(routes=1400)
    for name in scene.living():
        scene.hosts[name].kill()
    await asyncio.sleep(0.9)
    restarts = [
        asyncio.ensure_future(scene.add(name)) for name in scene.members
    ]
    await asyncio.sleep(IN_FORCE_S)
    assert sum(not one.done() for one in restarts) == 0
    assert scene.versions() == {2}
