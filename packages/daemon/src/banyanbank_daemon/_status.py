"""The status document that operators see."""

import typing

from banyanbank_daemon import _figures

if typing.TYPE_CHECKING:
    from banyanbank_daemon import _instance


def status_document(
    instance: "_instance.Instance", gathered: _figures.Gathered
) -> dict[str, typing.Any]:
    """Returns what one instance knows, ready for JSON.

    Args:
        instance: The instance.
        gathered: Figures of all instances.
    """
    now = instance.around.clock.now()
    return {
        "instance": instance.identity.name,
        "incarnation": instance.identity.incarnation,
        "failure_domain": instance.settings.failure_domain,
        "draining": instance.is_draining,
        "leader": instance.control.plane.leader,
        "revision": instance.control.entry.view.revision,
        "fresh": instance.control.entry.freshness.is_fresh(now),
        "fresh_for_s": round(
            max(0.0, instance.control.entry.freshness.deadline - now), 3
        ),
        "requests_in_progress": instance.listeners.exchanges,
        "control": _control(instance),
        "members": _members(instance),
        "endpoints": _endpoints(instance),
        "queues": _queues(instance),
        "rollouts": _rollouts(instance),
        "figures": _figures.to_document(
            gathered,
            instance.control.rollouts.weight_of,
            _figures.declared_prices(
                instance.control.entry.view.items.values()
            ),
        ),
    }


def _control(instance: "_instance.Instance") -> dict[str, typing.Any] | None:
    if instance.control.node is None:
        return None
    status = instance.control.node.status()
    return {
        "role": status.role.value,
        "epoch": status.epoch,
        "lease_held": instance.control.node.lease_held(),
        "last_index": status.last_index,
        "commit_index": status.commit_index,
        "applied_index": status.applied_index,
        "voters": [member.instance for member in status.voters],
        "learners": [member.instance for member in status.learners],
    }


def _members(instance: "_instance.Instance") -> list[dict[str, typing.Any]]:
    return [
        {
            "instance": member.instance,
            "incarnation": member.incarnation,
            "address": member.address,
            "failure_domain": member.failure_domain,
            "roles": list(member.roles),
            "leaving": member.leaving,
        }
        for member in sorted(
            instance.dispatch.fleet.directory.members(),
            key=lambda item: item.instance,
        )
    ]


def _endpoints(instance: "_instance.Instance") -> list[dict[str, typing.Any]]:
    return [
        {
            "endpoint": announcement.endpoint,
            "kind": announcement.kind.value,
            "phase": announcement.phase.value,
            "failure_domain": announcement.failure_domain,
            "supply": announcement.supply.value,
            "service": announcement.service,
            "models": {
                served.model: served.version for served in announcement.models
            },
            "owner": instance.dispatch.fleet.directory.owner_of(
                announcement.endpoint
            ),
        }
        for announcement in sorted(
            instance.dispatch.fleet.directory.known(),
            key=lambda item: item.endpoint,
        )
    ]


def _queues(instance: "_instance.Instance") -> list[dict[str, typing.Any]]:
    documents = []
    for endpoint, queue in sorted(instance.dispatch.queues.queues.items()):
        status = queue.status()
        documents.append(
            {
                "endpoint": endpoint,
                "waiting": status.waiting,
                "running": status.running,
                "slots": status.slots,
            }
        )
    return documents


def _rollouts(instance: "_instance.Instance") -> list[dict[str, typing.Any]]:
    return [
        {
            "trainer": step.trainer,
            "step": step.step,
            "samples": len(step.samples),
            "batch_formed": step.batch is not None,
        }
        for step in instance.control.rollouts.ledger.steps()
    ]
