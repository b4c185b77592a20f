"""Disarms the ranks of a group and releases its holds."""

import asyncio
from collections.abc import Set
from typing import Final

from carobslip.expertmap import _group_map, _order_sender, _orders

#: Interval of retries while a switch is undone or a hold is released.
_RETRY_S: Final = 0.03
#: Attempts to undo a switch or to release a hold.
_ATTEMPTS: Final = 200


class SwitchUndo:
    """Ends a switch at all ranks.

    Args:
        sender: Sends the orders.
    """

    def __init__(self, *, sender: _order_sender.OrderSender) -> None:
        self._sender = sender

    async def disarm_permanently(
        self,
        versions: Set[int],
        present: _group_map.Layout | None,
        absent: Set[int],
    ) -> None:
        """Disarms every rank permanently.

        A lost ARM order may still be carried out. Preparing another map that
        equals the one in use needs no copies, and makes the engine refuse that
        order, as its version is no longer prepared. If the layout in use is
        unknown, an answered DISARM makes a fencing engine refuse the order.

        The coordinator's own rank comes last. Its successor may find that it
        cannot be asked, and takes it for armed if all others are.

        Args:
            versions: Versions that ranks may be armed for.
            present: Experts that the ranks hold now, if known.
            absent: Ranks that do not answer, and are not armed.

        Raises:
            Superseded: Not all ranks answered, or another coordinator is active.
        """
        sender = self._sender
        neutral = 0
        if present is not None:
            reports = await sender.fetch_reports()
            neutral = sender.next_version(_order_sender.reports_in(reports))
        missing = sender.all_ranks - absent
        for _ in range(_ATTEMPTS):
            asked = (missing - {sender.own_rank}) or missing
            answers = await self._disarm(asked, versions, present, neutral)
            missing -= {
                rank
                for rank, answer in answers.items()
                if _is_disarmed(answer, neutral)
            }
            if not missing:
                return
            if asked & missing:
                await asyncio.sleep(_RETRY_S)
        raise _order_sender.Superseded

    async def release(
        self,
        step: int,
        ranks: Set[int],
        *,
        until_answered: bool = False,
    ) -> None:
        """Releases a hold at some ranks until none of them reports it.

        Args:
            step: The pass before which the group is held.
            ranks: The ranks.
            until_answered: Whether all of them must answer the order, which
                makes orders with a lower fencing number impossible.
        """
        order = self._sender.order(_orders.OrderKind.GO, step=step)
        for _ in range(_ATTEMPTS):
            answers = await self._sender.send_all(order, ranks)
            if all(
                _is_released(answer, step, until_answered=until_answered)
                for answer in answers.values()
            ):
                return
            await asyncio.sleep(_RETRY_S)

    async def _disarm(
        self,
        ranks: Set[int],
        versions: Set[int],
        present: _group_map.Layout | None,
        neutral: int,
    ) -> dict[int, _orders.RankAnswer]:
        sender = self._sender
        answers: dict[int, _orders.RankAnswer] = {}
        for version in sorted(versions):
            answers = await sender.send_all(
                sender.order(_orders.OrderKind.DISARM, version=version),
                ranks,
            )
        if present is None:
            return answers
        return await sender.send_all(
            sender.order(
                _orders.OrderKind.PREPARE,
                version=neutral,
                layout=present,
                is_undo=True,
            ),
            ranks,
        )


def _is_released(
    answer: _orders.RankAnswer, step: int, *, until_answered: bool
) -> bool:
    if until_answered and answer.end is _orders.OrderEnd.LOST:
        return False
    return answer.report is not None and answer.report.held != step


def _is_disarmed(answer: _orders.RankAnswer, neutral: int) -> bool:
    """Tells whether a rank can no longer be armed for an earlier map.

    Args:
        answer: Answer to PREPARE of the neutral map, or to DISARM.
        neutral: Version of the neutral map; 0 if there is none.
    """
    report = answer.report
    if report is None or report.armed is not None:
        return False
    if neutral:
        return report.prepared == neutral
    has_other_map = report.prepared not in {None, report.map_version}
    return not has_other_map or answer.end is _orders.OrderEnd.DONE
