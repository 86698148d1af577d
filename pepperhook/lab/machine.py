"""A model of one upstream machine, without I/O and without a clock: its caller passes the time.

Work is done by processor sharing: the jobs that hold a slot share the cores evenly, and none gets
more than one core. Their speed is the product of the machine's own speed, its warmth, crowding and
active faults. The virtual time V(t) is the work that each running job has been given so far. A job
that began at V ends at V + its work, so an event costs O(log n). This is generalised processor
sharing (Parekh and Gallager 1993) with equal weights.

Times are whole nanoseconds, work is nanoseconds of one core at speed one.
"""

from collections import deque
from heapq import heappop, heappush
from math import exp

from msgspec import Struct

MS, S = 10**6, 10**9
STARTED, QUEUED, REJECTED = "taken", "queued", "turned away"
PAUSED_CHECK_NS = 50 * MS  # a paused machine is checked again after this time
MAX_COLD_STEP_NS = 20 * MS  # a cold machine is advanced in steps of at most this length


class Spec(Struct, forbid_unknown_fields=True, kw_only=True):
    """The properties of a machine; the defaults are a healthy machine that is always warm."""

    cores: float = 2.0
    speed: float = 1.0
    slots: int = 32  # jobs worked on at once
    queue: int = 64  # jobs that wait for a slot; more are turned away
    connect_work_ms: float = 0.2  # work of a new connection, as a handshake would cost
    connections: int = 1024  # open connections; more are closed at once
    idle_close_s: float = 15.0  # idle connections are closed after this time
    crowd_at: int = 0  # jobs, running or waiting, from which on crowd_speed applies; 0: never
    crowd_speed: float = 0.4  # factor of its speed while it is crowded
    crowd_rest_s: float = 1.0  # idle time after which it is no longer crowded
    start_capacity: float = 1.0  # share of its speed when it starts cold
    warm_s: float = 10.0  # time to full speed
    warm_work_ms: float = 0.0  # work until full speed, in place of warm_s; 0: warm_s applies
    # Ratio of offered work to present capacity above which a cold machine crashes; 0: never.
    fall_multiple: float = 0.0
    fall_s: float = 1.0  # period over which fall_multiple is measured
    cancel_stops: bool = True  # whether cancelling a job ends its work


class Job:
    """One unit of work.

    ``work`` is its cost in nanoseconds of one core; ``owner`` is the object that it belongs to.
    """

    __slots__ = ("work", "owner", "virtual_end", "state", "arrived_at", "began_at", "abandoned")

    def __init__(self, work, owner):
        # state: None, "waiting", "working", "done" (work ended, slot still in use) or "over".
        self.work, self.owner, self.virtual_end, self.state = max(1, int(work)), owner, 0.0, None
        self.arrived_at = self.began_at = 0
        self.abandoned = False  # cancelled by its client


class Machine:
    """A machine that works on jobs.

    Call ``arrive``, ``abandon``, ``finish_job`` and ``due`` with times that never decrease;
    ``next_due_at`` returns when to call ``due`` at the latest. ``due`` returns the jobs whose work
    is done; they hold their slot until ``finish_job``.
    """

    def __init__(self, spec, now, cold=False):
        self.spec, self.advanced_to, self.virtual_time = spec, now, 0.0
        # running: a heap of (V at the end, sequence number, job).
        self.running, self.sequence, self.slots_in_use, self.waiting = [], 0, 0, deque()
        self.active_jobs = 0  # jobs that share the cores
        self.fault_factor = 1.0  # of the speed, by active faults; 0: it is paused
        self.crowded, self.idle_since = False, now
        self.cold_since = now if cold and spec.start_capacity < 1 else None
        self.warm_up_work = 0.0  # work done since the start
        # Work that arrived, decaying with time constant fall_s, and when it was last updated.
        self.offered_work, self.offered_work_at = 0.0, now
        self.has_crashed = False  # whether overload has crashed it while cold
        self.done_work = self.wasted_work = 0.0
        self.finished = []  # jobs whose work is done, not yet returned by due

    def warmth(self, now):
        """Return the present share of its full speed, by its warm-up."""
        if self.cold_since is None:
            return 1.0
        spec = self.spec
        share = (
            self.warm_up_work / (spec.warm_work_ms * MS)
            if spec.warm_work_ms
            else (now - self.cold_since) / (spec.warm_s * S)
        )
        if share >= 1:
            self.cold_since = None
            return 1.0
        return spec.start_capacity + (1 - spec.start_capacity) * max(0.0, share)

    def work_rate(self, now):
        """Return the work each running job is given per unit of time."""
        if not self.active_jobs:
            return 0.0
        speed = (
            self.spec.speed
            * self.fault_factor
            * self.warmth(now)
            * (self.spec.crowd_speed if self.crowded else 1.0)
        )
        return speed * min(1.0, self.spec.cores / self.active_jobs)

    def advance(self, now):
        """Advance virtual time to ``now``.

        Call this before every change of the rate: the time up to ``now`` counts at the old rate.
        """
        while now > self.advanced_to:
            # The rate of a cold machine grows, so a long span is split: the rate is constant in
            # each step.
            until = (
                min(now, self.advanced_to + MAX_COLD_STEP_NS)
                if self.cold_since is not None
                else now
            )
            rate = self.work_rate(self.advanced_to)
            span = until - self.advanced_to
            if rate and self.running:
                # Stop at the next end: after it fewer jobs share the cores.
                next_end = self.next_end()
                if next_end is not None and next_end > self.virtual_time:
                    span = min(span, max(1, int((next_end - self.virtual_time) / rate) + 1))
            self.virtual_time += rate * span
            self.warm_up_work += rate * span * self.active_jobs
            self.done_work += rate * span * self.active_jobs
            self.advanced_to += span
            if (
                rate
                and self.running
                and self.next_end() is not None
                and self.next_end() <= self.virtual_time
            ):
                self.collect_finished()
        if (
            self.crowded
            and not self.slots_in_use
            and now - self.idle_since >= self.spec.crowd_rest_s * S
        ):
            self.crowded = False

    def next_end(self):
        """Return the virtual time at which the next job ends, or None."""
        while self.running and self.running[0][2].state != "working":
            heappop(self.running)
        return self.running[0][0] if self.running else None

    def collect_finished(self):
        """Move the jobs whose work is done to ``finished``."""
        while (ends := self.next_end()) is not None and ends <= self.virtual_time:
            job = heappop(self.running)[2]
            job.state = "done"
            self.active_jobs -= 1
            self.finished.append(job)

    def arrive(self, now, job):
        """Admit a job; return STARTED, QUEUED or REJECTED (it never runs)."""
        self.advance(now)
        spec = self.spec
        self.offered_work *= exp((self.offered_work_at - now) / (spec.fall_s * S))
        self.offered_work_at = now
        self.offered_work += job.work
        job.arrived_at = now
        if spec.fall_multiple and self.cold_since is not None:
            present = self.warmth(now) * spec.cores * spec.speed * spec.fall_s * S
            # Allow the work of three more jobs, so that a few jobs at once are no overload.
            if (
                self.cold_since is not None
                and self.offered_work > spec.fall_multiple * present + 3 * job.work
            ):
                self.has_crashed = True
        if self.slots_in_use >= spec.slots:
            if len(self.waiting) >= spec.queue:
                return REJECTED
            job.state = "waiting"
            self.waiting.append(job)
            self.update_crowding()
            return QUEUED
        self.begin(now, job)
        self.update_crowding()
        return STARTED

    def update_crowding(self):
        """Become crowded if at least ``crowd_at`` jobs run or wait."""
        if self.spec.crowd_at and self.slots_in_use + len(self.waiting) >= self.spec.crowd_at:
            self.crowded = True

    def begin(self, now, job):
        """Give a job a slot and begin its work."""
        job.state, job.began_at, job.virtual_end = "working", now, self.virtual_time + job.work
        self.slots_in_use += 1
        self.active_jobs += 1
        self.sequence += 1
        heappush(self.running, (job.virtual_end, self.sequence, job))

    def charge(self, now, work):
        """Do work besides the jobs, such as a handshake.

        Virtual time is set back, which postpones the end of every running job.
        """
        self.advance(now)
        if self.active_jobs:
            self.virtual_time -= min(
                work / max(self.spec.cores, self.active_jobs), self.virtual_time
            )
        self.done_work += work

    def abandon(self, now, job):
        """Cancel a job whose client is gone; return whether it has left the machine.

        A waiting job leaves; a running one stops only if ``cancel_stops`` is set.
        """
        self.advance(now)
        if job.abandoned or job.state in (None, "over"):
            return job.state == "over"
        job.abandoned = True
        if job.state == "waiting":
            self.waiting.remove(job)
            job.state = "over"
            return True
        if job.state == "working" and self.spec.cancel_stops:
            self.wasted_work += max(0.0, job.work - (job.virtual_end - self.virtual_time))
            job.state = "over"
            self.active_jobs -= 1
            self.free_slot(now)
            return True
        if job.state == "working":
            self.wasted_work += job.work
        return False

    def finish_job(self, now, job):
        """Release the slot of a job that ``due`` returned."""
        self.advance(now)
        if job.state == "done":
            job.state = "over"
            self.free_slot(now)

    def free_slot(self, now):
        """Free one slot and begin waiting jobs."""
        self.slots_in_use -= 1
        if not self.slots_in_use:
            self.idle_since = now
        while self.waiting and self.slots_in_use < self.spec.slots:
            self.begin(now, self.waiting.popleft())

    def due(self, now):
        """Return the jobs whose work is done by now, in the order in which they ended."""
        self.advance(now)
        self.collect_finished()
        done, self.finished = self.finished, []
        return done

    def next_due_at(self, now):
        """Return when to call ``due`` at the latest; None if no job is running."""
        ends, rate = self.next_end(), self.work_rate(now)
        if self.finished:
            return now
        if ends is None:
            return None
        if not rate:
            return now + PAUSED_CHECK_NS
        at = now + max(1, int((ends - self.virtual_time) / rate) + 1)
        return min(at, now + MAX_COLD_STEP_NS) if self.cold_since is not None else at

    def set_fault_factor(self, now, factor):
        """Set the factor that faults put on the speed; 0 pauses the machine."""
        self.advance(now)
        self.fault_factor = factor

    def report(self, now):
        """Return the content of a load report."""
        self.advance(now)
        return {
            "outstanding": self.slots_in_use,
            "backlog": len(self.waiting),
            "utilization": round(min(1.0, self.active_jobs / self.spec.cores), 3),
        }
