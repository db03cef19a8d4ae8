"""Tracks the workers of a group and detects lost ones by lease expiry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.job import JobKind, TaskState
from ..observability.events import log_event
from ..placement.events import WorkerChanged, WorkerGone
from .link import Assignment, WorkerLink

if TYPE_CHECKING:
    from ..store.messages import Instance
    from .context import GroupContext

__all__ = ["GroupWorkers"]

LEASE_EXPIRY_MARGIN_S = 3.0


class GroupWorkers:
    """Manages the links to the workers of a group.

    Attempts on an unreachable worker count as lost only after every lease on it has
    expired; an exclusive task could otherwise run on two workers.
    """

    def __init__(self, group: GroupContext) -> None:
        self._group = group

    def set_instances(self, instance_by_id: dict[str, Instance]) -> None:
        """Apply the current list of this data centre's workers."""
        self._group.instance_by_id = instance_by_id
        if self._group.is_inactive:
            return
        for instance in list(instance_by_id.values()):
            link = self._group.link_by_worker_id.get(instance.id)
            if instance.gone:
                self._remove_link(link)
            elif link is None:
                self._group.start(self.add_link(instance).run())
            else:
                self._update_link(link, instance)
        self._group.request_decisions()

    def add_link(self, instance: Instance) -> WorkerLink:
        """Add the link to a worker without starting its sync loop."""
        link = WorkerLink(self._group, instance)
        self._group.link_by_worker_id[instance.id] = link
        self.update_core(link)
        return link

    def _update_link(self, link: WorkerLink, instance: Instance) -> None:
        was_leaving = link.leaving
        link.update(instance)
        self.update_core(link)
        if link.leaving and not was_leaving:
            log_event("worker_leaving", worker=link.worker_id, epoch=self._group.epoch)
            self._evict_services(link)

    def _evict_services(self, link: WorkerLink) -> None:
        for assignment in self._group.assignments_on(link.worker_id):
            if assignment.record.job.kind is JobKind.SERVICE:
                self._group.start(link.stop(assignment, checkpoint=True))

    def _remove_link(self, link: WorkerLink | None) -> None:
        if link is None or link.gone:
            return
        link.gone = True
        link.close()
        for assignment in self._group.assignments_on(link.worker_id):
            self._group.attempt_lost(assignment, "worker is gone")
        self._group.core.apply(WorkerGone(link.worker_id), self._group.now.mono)
        del self._group.link_by_worker_id[link.worker_id]
        log_event("worker_gone", worker=link.worker_id, epoch=self._group.epoch)

    def update_core(self, link: WorkerLink) -> None:
        """Update the core with a worker's capacity and availability."""
        changed = WorkerChanged(
            link.worker_id, link.rack, link.capacity, link.accepting
        )
        self._group.core.apply(changed, self._group.now.mono)
        self._group.limits.apply_policies()
        self._group.request_decisions()

    def end_expired_attempts(self, link: WorkerLink) -> None:
        """End the attempts of an unreachable worker once their leases expired."""
        if self._group.now.mono < self.leases_expire_by(link):
            return
        for assignment in self._group.assignments_on(link.worker_id):
            self._group.attempt_lost(assignment, "worker is silent and its lease ended")

    def leases_expire_by(self, link: WorkerLink) -> float:
        """Return the monotonic time by which all leases on a worker expire.

        Assumes that this owner renews none of them from now on.
        """
        if not link.ever_fenced:
            return self.inherited_leases_expire_by()
        lease_s = self._group.settings.task_lease_s + LEASE_EXPIRY_MARGIN_S
        return link.last_contact_at + lease_s

    def inherited_leases_expire_by(self) -> float:
        """Return the monotonic time by which a previous owner's leases expire.

        With worker fencing, an owner may serve for ``longest_without_store_s``
        after its session lease has expired.
        """
        lease_s = self._group.settings.task_lease_s + LEASE_EXPIRY_MARGIN_S
        if self._group.settings.workers_fence:
            lease_s += self._group.settings.longest_without_store_s
        return self._group.acquired_at + lease_s

    def assignments_on(self, worker_id: str) -> list[Assignment]:
        """Return the current attempts that are placed on a worker."""
        worker = self._group.core.worker_table.by_id.get(worker_id)
        if worker is None:
            return []
        assignments = []
        for task_id in list(worker.task_ids):
            found = self._group.find_task(task_id)
            if found is None:
                continue
            assignment = Assignment(*found, found[1].attempt)
            if assignment.is_current:
                assignments.append(assignment)
        return assignments

    def running_attempts_on(self, worker_id: str) -> set[tuple[str, int]]:
        """Return the (task, attempt) pairs in state running on a worker."""
        return {
            (assignment.record.task_id(assignment.task), assignment.attempt)
            for assignment in self._group.assignments_on(worker_id)
            if assignment.task.state is TaskState.RUNNING
        }
