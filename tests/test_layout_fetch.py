"""The layout that a coordinator plans from."""

import pytest

from carobslip import expertmap
from carobslip.expertmap import _layout_fetch, _orders


class Ranks:
    """Two ranks that tell one expert each."""

    def __init__(self, armed):
        self.armed = armed

    async def order(self, rank, order, *, through=None):
        return expertmap.RankAnswer(
            end=_orders.OrderEnd.DONE,
            report=expertmap.RankReport(
                group='group',
                epoch=1,
                rank=rank,
                size=2,
                is_open=True,
                step=7,
                map_version=3,
                armed=self.armed,
            ),
            experts=((rank,),),
        )


# A coordinator that learned the layout before the pass of a switch planned from it
# afterwards, and ranks refused each of its maps (18 to 29 s of a trial at 72 ranks).
@pytest.mark.parametrize(
    ('armed', 'layout', 'why'),
    [
        (None, (((0,), (1,)),), ''),
        (
            expertmap.ArmedMap(version=4, step=9),
            None,
            'a switch is armed',
        ),
    ],
)
async def test_no_layout_is_learned_while_a_switch_is_armed(armed, layout, why):
    fetch = _layout_fetch.LayoutFetch(
        ranks=Ranks(armed), own_rank=0, epoch=1, fence=1
    )
    assert await fetch.run(2) == layout
    assert fetch.why == why


async def test_coordinator_that_ends_a_switch_learns_the_layout_in_use():
    # Guards against: a switch whose ranks are armed is never undone where
    # engines check no fencing numbers, and the group stays held.
    fetch = _layout_fetch.LayoutFetch(
        ranks=Ranks(expertmap.ArmedMap(version=4, step=9)),
        own_rank=0,
        epoch=1,
        fence=1,
        may_be_armed=True,
    )
    assert await fetch.run(2) == (((0,), (1,)),)
