"""Counts requests that are not answered after their route's timeout."""

from review.standins import bookings, deployment

TIMEOUT_S = 1.0
PATIENCE_S = 2.5
#: The rule: answers are due this long after the route's timeout.
_SLACK_S = 0.5
_COUNT_MIN = 8


def count_unanswered(
    site: bookings.Bookings, record: deployment.Record
) -> bool:
    """Judges the bookings; tells whether the rule was broken.

    More than half of those that are unanswered at their route's timeout, and
    eight or more, have no answer half a second later.
    """
    booked = [
        sent for sent in site.sent if sent.target.startswith(bookings.PREFIX)
    ]
    # A caller that got no answer has waited for its whole time limit.
    late = [sent for sent in booked if sent.ended_s - sent.sent_s >= TIMEOUT_S]
    unanswered = [
        sent
        for sent in late
        if not sent.answer.status
        or sent.ended_s - sent.sent_s > TIMEOUT_S + _SLACK_S
    ]
    never = [sent for sent in unanswered if not sent.answer.status]
    ran = {run.request_id for run in site.runs}
    in_vain = [sent for sent in never if sent.request_id in ran]
    record.write(f'bookings: {len(booked)}')
    record.write(f'unanswered at the timeout: {len(late)}')
    record.write(f'unanswered half a second later: {len(unanswered)}')
    record.write(f'never answered: {len(never)}; of these ran: {len(in_vain)}')
    return len(unanswered) >= _COUNT_MIN and len(unanswered) > len(late) / 2
