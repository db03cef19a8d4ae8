"""Reference implementation of placement for plain batch tasks.

It has no index, counters or record of blocked requests, so that it is simple to
check: every decision examines every team, job and worker.
"""

from __future__ import annotations

from lagoonpulley.model.job import task_id_of
from lagoonpulley.model.resources import ZERO
from lagoonpulley.placement.events import (
    JobCancelled,
    JobSubmitted,
    TaskEnded,
    TeamsChanged,
    WorkerChanged,
    WorkerGone,
)


class NaiveCore:
    def __init__(self):
        self.workers = {}
        self.teams = {}
        self.queues = {}
        self.placed = {}

    def apply(self, event, now):
        match event:
            case WorkerChanged(worker_id, _, capacity, accepting):
                order = self.workers.get(worker_id, (len(self.workers),))[0]
                self.workers[worker_id] = (order, capacity, accepting)
            case WorkerGone(worker_id):
                order, capacity, _ = self.workers[worker_id]
                self.workers[worker_id] = (order, capacity, False)
            case TeamsChanged(policies):
                self.teams = dict(policies)
            case JobSubmitted(job, indexes, at):
                queue = self.queues.setdefault(job.team, [])
                queue.append([job, list(indexes), at])
            case JobCancelled(job_id):
                for queue in self.queues.values():
                    queue[:] = [item for item in queue if item[0].id != job_id]
            case TaskEnded(task_id):
                self.placed.pop(task_id, None)

    def used(self, team):
        total = ZERO
        for job, _, _ in self.placed.values():
            if job.team == team:
                total = total.plus(job.request)
        return total

    def free(self, worker_id):
        room = self.workers[worker_id][1]
        for job, where, _ in self.placed.values():
            if where == worker_id:
                room = room.minus(job.request)
        return room

    def total(self):
        total = ZERO
        for _, capacity, accepting in self.workers.values():
            if accepting:
                total = total.plus(capacity)
        return total

    def decide(self, now):
        decisions = []
        while True:
            decision = self.next_decision()
            if decision is None:
                return decisions
            decisions.append(decision)

    def next_decision(self):
        total = self.total()
        order = sorted(
            (
                self.used(name).largest_fraction_of(total) / policy.weight,
                name,
            )
            for name, policy in self.teams.items()
        )
        for _, name in order:
            for job, indexes, _ in self.queues.get(name, []):
                if not indexes or not self.allows(name, job):
                    continue
                worker_id = self.best_worker(job)
                if worker_id is None:
                    continue
                index = indexes.pop(0)
                task_id = task_id_of(job.id, index)
                self.placed[task_id] = (job, worker_id, index)
                return task_id, worker_id
        return None

    def allows(self, name, job):
        policy = self.teams[name]
        if policy.withdrawn:
            return False
        limit = policy.limit
        return limit is None or self.used(name).plus(job.request).fits_in(limit)

    def best_worker(self, job):
        best = None
        for worker_id, (order, capacity, accepting) in self.workers.items():
            free = self.free(worker_id)
            if not accepting or not job.request.fits_in(free):
                continue
            leftover = (free[1] - job.request[1]) / max(1, capacity[1])
            leftover += free[2] - job.request[2]
            key = (free[0] // 1000, leftover, order)
            if best is None or key < best[0]:
                best = (key, worker_id)
        return best[1] if best else None
