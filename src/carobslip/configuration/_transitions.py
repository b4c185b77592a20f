"""Check of whether one configuration may replace another."""

from carobslip.configuration import _document


def find_step_fault(
    before: _document.Configuration,
    after: _document.Configuration,
) -> str | None:
    """Returns why ``after`` must not directly replace ``before``, or None.

    The members of a service vote on idempotency keys. Majorities of two member
    lists always share a guard only if the lists differ by at most one target.
    """
    if after.version <= before.version:
        return (
            f'$.version: {after.version} is not higher than '
            f'{before.version}, which is in force'
        )
    for name, service in after.services.items():
        old = before.services.get(name)
        if old is None:
            continue
        changed = set(old.targets) ^ set(service.targets)
        if len(changed) > 1 and old.targets:
            return (
                f'$.services.{name}.targets: {sorted(changed)} change at '
                'once; add or remove one target per version'
            )
    return None
