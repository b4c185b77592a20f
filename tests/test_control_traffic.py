"""Counts of control messages, and log lines of configuration transfers."""

import asyncio

from carobslip import clocks, configuration, control, identifiers, observability
from tests.fakes import cluster as clusters
from tests.fakes import host as hosts
from tests.fakes import network as networks
from tests.test_unlisted_fleet import Unlisted


def new_node(network, name, metrics):
    clock = clocks.LoopClock(epoch_ms=clusters.EPOCH_MS)
    return control.Node(
        origin=control.Origin(
            instance=identifiers.InstanceId(name),
            incarnation=identifiers.Incarnation(1),
            control_address=f'{name}:70',
        ),
        holder=configuration.Holder(clock=clock),
        transport=networks.FakeTransport(network, hosts.Host(name)),
        metrics=metrics,
        log=clusters.RecordingLog(),
    )


@hosts.virtual
async def test_messages_bytes_and_unanswered_requests_are_counted_by_type():
    scene = Unlisted(entries=0, guards=0)
    books = [observability.MetricsBook(), observability.MetricsBook()]
    asking = new_node(scene.network, 'one', books[0])
    answering = new_node(scene.network, 'two', books[1])
    await answering.start()
    await asking.synchronize_with('two:70')
    await asking.synchronize_with('three:70')
    text = books[0].text()
    assert 'carobslip_control_sent_CompareVersions_total 2' in text
    assert 'carobslip_control_silent_CompareVersions_total 1' in text
    assert 'carobslip_control_received_Noted_total 1' in text
    assert 'carobslip_control_answer_CompareVersions_ms_count 1' in text
    received = asking.traffic.take_bytes()
    sent = answering.traffic.take_bytes()
    assert received['received.Noted'] > 0
    assert sent['sent.Noted'] == received['received.Noted']
    assert asking.traffic.take_bytes() == {}


@hosts.virtual
async def test_each_configuration_fetch_is_logged_with_peer_and_outcome():
    scene = Unlisted(entries=3, guards=1)
    await scene.start()
    scene.platform.publish({'kind': 'configuration', 'version': 2})
    await asyncio.sleep(2)
    fetched = [
        fields
        for event, fields in scene.members['guard-0'].log.events
        if event is observability.Event.CONFIGURATION_FETCHED
    ]
    assert {'peer', 'outcome', 'size_bytes', 'took_ms'} <= set(fetched[-1])
    assert 'adopted' in {fields['outcome'] for fields in fetched}
