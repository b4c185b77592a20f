"""The verdict on one attempt or one request."""

import enum


class Verdict(enum.Enum):
    """Whether a request may have had an effect at a target."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    MAY_HAVE_RUN = 'may-have-run'
