"""Whether one configuration may follow another."""

from carobslip.configuration import _document


def find_step_fault(
    before: _document.Configuration,
    after: _document.Configuration,
) -> str | None:
    """Returns why ``after`` must not follow ``before`` directly.

    The members of a service vote on idempotency keys. Two majorities share a
    guard only while their member lists differ by at most one target.
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
