"""Every decision of pepperhook. A host makes one Balancer per instance, calls it as things happen and carries out
the results that each call returns; calls, results and types are described in pepperhook/model.py. The ordinary
path is Adaptive Retry Budgeting over slices with two choices; docs/design.md tells what was kept and why.

An operation goes down the chain Answers > Shares > Gate > Budget > Pick > Sender; what comes back goes up it.
"""

from heapq import heappop, heappush
from math import exp, log, sqrt
from zlib import crc32

from pepperhook.model import (BINDING, CALLED_OFF, ERROR, FINGERPRINTED, FULFILLED, FULL, GONE, MOOT, NEVER_RAN, READY,
                              RETRIABLE, TIMED_OUT, UNCONNECTED, Dispatch, Missing, Sums)

MS = 1_000_000
S = 1000 * MS
REVIEW = 200 * MS           # how often weights, limit and slice are looked at afresh

B0, ALPHA, BETA, HIGH_F, LOW_F, T = 0.2, 0.1, 0.5, 0.3, 0.05, S
RATE_SPAN = 5 * S           # smoothing of the base load
OVERLOAD_UTIL, OVERLOAD_REFUSED = 0.9, 0.1

SLICE_LEAST = 3
TIMES_SPAN, FAULTS_SPAN = 6 * S, 4 * S
AWAY = 0.4                  # weight of another zone's upstream, as crossing is dear and slow
JUDGED = 0.3
TRICKLE = 0.02              # a judged upstream still gets this much, or nobody would see it recover
DARK_COLD = 1500 * MS       # dead for longer than this counts as a restart

CROWD = 0.35                # mean time out that is let grow, in goal times
ROOM = 5                    # dispatches that all callers may always have out at an upstream
HOLD = 0.15                 # of the goal time


class Stage:
    """Passes everything on; what a stage does beyond that is in its own class."""

    def __init__(self, core):
        self.core, self.inner, self.outer = core, None, None

    def take(self, now, operation):
        return self.inner.take(now, operation)

    def ended(self, now, dispatch):
        self.outer.ended(now, dispatch)


class Answers(Stage):
    """Rule 1: the one place that gives final answers, and the timer that gives one in time."""

    def take(self, now, operation):
        core = self.core
        operation.taken = now
        operation.goal_at = min(now + operation.grade["goal_ns"], operation.not_after)
        core.later(max(now, operation.not_after - core.lead), self.due, operation)
        if not self.inner.take(now, operation):
            self.end(now, operation)

    def due(self, now, operation):
        # Against an operation that something keeps: nothing is out for it, or its time-out is late.
        if not operation.over and not operation.streaming and not operation.out:
            self.end(now, operation)

    def end(self, now, operation):
        if operation.over:
            return
        operation.over = True
        core = self.core
        if all(not d.may_have_run for d in operation.dispatches) or operation.grade["effect"] == RETRIABLE or (
                operation.grade["effect"] == FINGERPRINTED and operation.grade["group"] == "all"):
            core.out.append(("shed", operation, core.gate.advice(now)))
        else:
            core.out.append(("break off", operation))

    def ended(self, now, dispatch):
        operation = dispatch.operation
        if not operation.over and not operation.out and not operation.waiting:
            self.end(now, operation)


class Shares(Stage):
    """What an operation is worth for its work; beyond a customer's share that is little."""

    def __init__(self, core):
        super().__init__(core)
        self.asked = [Sums(3 * S, core.now) for _ in core.settings["customers"]]

    def take(self, now, operation):
        settings, grade = self.core.settings, operation.grade
        value = grade["earnings"]
        if not settings.get("per_work"):
            value /= max(self.core.pick.usual(grade), MS) / S
        if operation.customer is not None and settings.get("tier", 0) == 0:
            sums = self.asked[operation.customer]
            sums.add(now)
            quota = settings["customers"][operation.customer]["quota"] / self.core.balancers
            rate = sums.rate(now)
            if quota and rate > quota and self.core.chance() > quota / rate:
                value *= settings.get("excess_earnings", 1)
        operation.value = value
        return self.inner.take(now, operation)


class Gate(Stage):
    """Holds back what upstreams can't answer in time, and sheds what waiting won't help."""

    def __init__(self, core):
        super().__init__(core)
        self.queue = []

    def advice(self, now):
        if not self.core.settings.get("may_advise"):
            return 0
        return min(self.core.settings.get("longest_advice_ns", S), int(S * (0.5 + self.core.chance())))

    def take(self, now, operation):
        if not self.queue and self.inner.take(now, operation):
            return True
        return self.hold(now, operation)

    def hold(self, now, operation):
        operation.waiting = True
        self.queue.append(operation)
        self.queue.sort(key=lambda o: (-o.value, o.taken))
        self.core.later(now + int(HOLD * operation.grade["goal_ns"]), self.tired, operation)
        self.release(now)
        while len(self.queue) > max(2, self.core.sent_out / 2):
            self.drop(now, self.queue[-1])
        return True

    def tired(self, now, operation):
        if operation.waiting and not operation.over:
            self.drop(now, operation)

    def drop(self, now, operation):
        self.queue.remove(operation)
        operation.waiting = False
        self.core.answers.end(now, operation)

    def release(self, now):
        while self.queue:
            operation = self.queue[0]
            if not operation.over and not self.inner.take(now, operation):
                return
            self.queue.pop(0)
            operation.waiting = False

    def ended(self, now, dispatch):
        self.outer.ended(now, dispatch)
        self.release(now)


class Budget(Stage):
    """Adaptive Retry Budgeting."""

    def __init__(self, core):
        super().__init__(core)
        self.B, self.f = B0, 0.0
        self.rate, self.refused = Sums(RATE_SPAN, core.now), Sums(2 * S, core.now)
        self.grades = [0.0] * len(core.settings["grades"])
        core.later(core.now + T, self.adjust, None)

    def base_load(self, now):
        return max(1.0, self.rate.rate(now))

    def overloaded(self, now):
        util = self.core.pick.utilisation(now)
        if util is not None:
            return util > OVERLOAD_UTIL
        return self.refused.mean(now, 0, 5) > OVERLOAD_REFUSED

    def adjust(self, now, _):
        self.core.later(now + T, self.adjust, None)
        if self.f > HIGH_F or self.overloaded(now):
            self.B *= 1 - BETA
        elif self.f < LOW_F:
            self.B = min(B0, self.B + ALPHA)

    def take(self, now, operation):
        if not self.inner.take(now, operation):
            return False
        dispatch = operation.dispatches[-1]
        patience = self.core.pick.patience(operation.grade)
        if self.core.settings.get("may_call_off") and operation.grade["effect"] != BINDING and (
                now + patience + self.core.pick.usual(operation.grade) < operation.goal_at):
            self.core.later(now + patience, self.impatient, dispatch)
        return True

    def impatient(self, now, dispatch):
        operation = dispatch.operation
        if dispatch.outcome is None and not operation.over and not operation.streaming and (
                self.granted(now, dispatch)):
            operation.again = True
            self.core.out.append(("call off", dispatch))

    def granted(self, now, dispatch):
        operation = dispatch.operation
        if len(operation.dispatches) >= self.core.settings.get("most_dispatches", 1) or self.B <= 0:
            return False
        if self.overloaded(now) or now + self.core.pick.usual(operation.grade) > operation.goal_at:
            return False
        if not self.core.sender.repeatable(now, operation):
            return False
        chance = 1 - self.f if self.core.pick.alone(dispatch.upstream) else min(self.B, 1 - self.f)
        if self.core.chance() >= chance:
            return False
        self.B = max(0.0, self.B - 1 / self.base_load(now))
        return True

    def ended(self, now, dispatch):
        operation, grade = dispatch.operation, dispatch.operation.grade["number"]
        failed = dispatch.outcome != FULFILLED
        again, operation.again = operation.again, False
        if dispatch.outcome == MOOT or dispatch.outcome == CALLED_OFF and not again:
            return self.outer.ended(now, dispatch)
        self.refused.add(now, dispatch.outcome == FULL)
        self.grades[grade] = 0.9 * self.grades[grade] + 0.1 * failed
        # Against quick errors of one upstream, or one failing grade, that would halt retries for all.
        others = [f for n, f in enumerate(self.grades) if n != grade]
        if not self.core.pick.alone(dispatch.upstream) and not (
                others and self.grades[grade] > HIGH_F and max(others) < LOW_F):
            self.f = 0.9 * self.f + 0.1 * failed
        if failed and not operation.over and not operation.out and (again or self.granted(now, dispatch)):
            if self.take(now, operation):
                return None
        return self.outer.ended(now, dispatch)


class Pick(Stage):
    """A slice by own index, then the less busy of two random members; the sick and the cold are passed over."""

    def __init__(self, core):
        super().__init__(core)
        self.listed, self.ring, self.members, self.extra, self.floor = {}, [], [], 0, 1
        self.grades = [Sums(10 * S, core.now) for _ in core.settings["grades"]]

    def usual(self, grade):
        return self.grades[grade["number"]].mean(self.core.now, 0.2 * grade["goal_ns"], 2)

    def patience(self, grade):
        sums = self.grades[grade["number"]]
        mean = self.usual(grade)
        spread = sqrt(max(0.0, sums.squares / sums.weight - mean * mean)) if sums.weight > 1 else mean
        return int(max(0.25 * grade["goal_ns"], mean + 3 * spread))

    def alone(self, upstream):
        return upstream.faulty

    def utilisation(self, now):
        known = [u.report["utilisation"] for u in self.members
                 if u.report and "utilisation" in u.report and now - u.report_at < 3 * S]
        return sum(known) / len(known) if len(known) * 2 > len(self.members) else None

    def listing(self, now, whole, rows):
        named = {row[0] for row in rows}
        if whole:
            for upstream in [u for u in self.listed if u not in named]:
                upstream.state = GONE
                del self.listed[upstream]
        for upstream, state, launched in rows:
            if upstream.times is None:
                upstream.times, upstream.faults = Sums(TIMES_SPAN, now), Sums(FAULTS_SPAN, now)
                upstream.faulty, upstream.slow, upstream.done = False, 1.0, Sums(2 * S, now)
                upstream.near = 1.0
            if launched > upstream.launched:
                upstream.launched = launched
                if now - launched < self.core.settings.get("warm_within_ns", 0):
                    self.chill(now, upstream, launched)
                upstream.dark_since = None
            upstream.state = state
            if state == GONE:
                self.listed.pop(upstream, None)
            else:
                self.listed[upstream] = True
        self.ring = sorted((u for u in self.listed if u.state == READY), key=lambda u: crc32(u.address))
        self.review(now)

    def chill(self, now, upstream, since):
        upstream.warm_from, upstream.allowed_at = since, now
        upstream.allowance = self.core.chance()
        upstream.times, upstream.faults = Sums(TIMES_SPAN, now), Sums(FAULTS_SPAN, now)

    def review(self, now):
        ring, core = self.ring, self.core
        count = len(ring)
        width = min(count, max(SLICE_LEAST, -(-count // core.balancers), -(-count // 2)) + self.extra)
        start = core.index * count // core.balancers
        self.members, fit = [], 0
        # Against many callers that each find little out of their own and together bury an upstream.
        self.floor = max(1, round(ROOM * count / (core.balancers * max(1, width))))
        for step in range(count):
            upstream = ring[(start + step) % count]
            if step >= width and fit >= SLICE_LEAST:
                break
            self.members.append(upstream)
            fit += upstream.dark_since is None and upstream.state == READY
        if not self.members:
            return
        judged = []
        for upstream in self.members:
            sums = upstream.times.fade(now)
            weight, total, squares = sums.weight + 2, sums.total, sums.squares + 1
            for dispatch in upstream.pending:
                age = log(max(1, now - dispatch.sent) / self.usual(dispatch.operation.grade))
                if age > 0.7:
                    weight, total, squares = weight + 1, total + age, squares + age * age
            mean = total / weight
            judged.append(exp(mean + sqrt(max(0.0, squares / weight - mean * mean))))
        middle = sorted(judged)[len(judged) // 2]
        faults = [u.faults.mean(now, 0, 2) for u in self.members]
        fair = sorted(faults)[len(faults) // 2]
        for upstream, high, fault in zip(self.members, judged, faults):
            warmth = core.sender.warmth(now, upstream)
            upstream.slow = high * (1 + 4 * fault) / warmth
            upstream.faulty = fault > 0.3 and fair < 0.1
            near = 1.0 if upstream.zone == core.settings.get("zone", upstream.zone) else AWAY
            weight = min(1.0, (middle / high) ** 2) * min(1.0, ((1 - fault) / (1 - fair)) ** 2 if fair < 1 else 1)
            upstream.weight, upstream.near = max(TRICKLE, weight * warmth), near
            if upstream.dark_since is not None:
                upstream.weight = 0.0
                if core.settings.get("may_probe"):
                    if not upstream.probing and now >= upstream.probe_after:
                        upstream.probing = True
                        core.out.append(("probe", upstream))
                elif now >= upstream.probe_after:
                    upstream.weight = TRICKLE
        busy = core.sent_out / len(self.members)
        if busy > 3:
            self.extra = min(count, self.extra + 1)
        elif busy < 1.5 and self.extra:
            self.extra -= 1

    def take(self, now, operation):
        may = self.core.sender.may
        tried = [d.upstream for d in operation.dispatches]
        fit = [u for u in self.members if u.weight > 0 and u not in tried and self.room(now, u) and (
            may(now, operation, u))]
        if not fit:
            fit = [u for u in self.ring if u.dark_since is None and self.room(now, u) and may(now, operation, u)]
        if not fit:
            return False
        first = self.draw(fit)
        second = self.draw([u for u in fit if u is not first] or [first])
        ahead, behind = len(first.pending), len(second.pending)
        if behind < ahead or behind == ahead and second.slow < first.slow:
            first = second
        return self.inner.send(now, operation, first)

    def room(self, now, upstream):
        # Little's law: what is out, over what is fulfilled in a second, is the mean time out of what is sent next.
        # Against burying an upstream, and against filling one that answers nothing.
        out = len(upstream.pending)
        # Against quick errors, which look idle, drawing all that the crowded ones hold back.
        if upstream.weight < JUDGED and self.core.chance() > upstream.weight:
            return False
        if out < self.floor:
            return True
        done = upstream.done.fade(now)
        return out < CROWD * done.total / done.span

    def draw(self, fit):
        spot = self.core.chance() * sum(u.weight * u.near or TRICKLE for u in fit)
        for upstream in fit:
            spot -= upstream.weight * upstream.near or TRICKLE
            if spot < 0:
                return upstream
        return fit[-1]

    def ended(self, now, dispatch):
        upstream, grade, outcome = dispatch.upstream, dispatch.operation.grade, dispatch.outcome
        if outcome == FULFILLED:
            upstream.times.add(now, log(max(1, dispatch.took) / self.usual(grade)))
            upstream.done.add(now, grade["goal_ns"])
            self.grades[grade["number"]].add(now, dispatch.took)
        elif outcome == TIMED_OUT or outcome == CALLED_OFF:
            waited = log(max(1, now - dispatch.sent) / self.usual(grade))
            if waited > 0.7:
                upstream.times.add(now, waited)
        if outcome != CALLED_OFF and outcome != MOOT:
            upstream.faults.add(now, outcome not in (FULFILLED, TIMED_OUT))
        if outcome == UNCONNECTED:
            if upstream.dark_since is None:
                upstream.dark_since, upstream.probe_after = now, now + 100 * MS
                upstream.weight = 0.0
        elif outcome != CALLED_OFF and outcome != MOOT and outcome != TIMED_OUT:
            self.alive(now, upstream)
        self.outer.ended(now, dispatch)

    def alive(self, now, upstream):
        if upstream.dark_since is not None:
            # Against pushing over one that came back before the list told of it.
            if now - upstream.dark_since > DARK_COLD:
                self.chill(now, upstream, now)
            upstream.dark_since = None

    def probed(self, now, upstream, outcome):
        upstream.probing = False
        upstream.probe_after = now + int((0.5 + self.core.chance()) * S)
        if outcome == FULFILLED:
            self.alive(now, upstream)


class Sender(Stage):
    """The one place that sends, and that guards rules 2, 3 and 4."""

    def warmth(self, now, upstream):
        """The share of its capacity that it surely has."""
        if upstream.warm_from is None:
            return 1.0
        settings = self.core.settings
        start, within = settings.get("start_capacity", 1.0), settings.get("warm_within_ns", 0)
        if now - upstream.warm_from >= within:
            upstream.warm_from = None
            return 1.0
        return start + (1 - start) * max(0, now - upstream.warm_from) / within

    def repeatable(self, now, operation):
        grade = operation.grade
        doubtful = [d for d in operation.dispatches if d.may_have_run]
        if not doubtful or grade["effect"] == RETRIABLE:
            return True
        if grade["effect"] == FINGERPRINTED:
            return now <= doubtful[0].sent + grade["window_ns"]
        return False

    def may(self, now, operation, upstream):
        core = self.core
        if operation.over or operation.streaming or now >= operation.not_after:
            return False
        if operation.out and not core.settings.get("may_overlap"):
            return False
        if not self.repeatable(now, operation):
            return False
        grade = operation.grade
        if grade["effect"] == FINGERPRINTED and grade["group"] != "all":
            group = grade["group"]
            if any(d.may_have_run and getattr(d.upstream, group) != getattr(upstream, group)
                   for d in operation.dispatches):
                return False
        if upstream.state != READY or core.discovery.silent(now):
            return False
        warmth = self.warmth(now, upstream)
        if warmth < 1:
            self.allow(now, upstream, warmth)
            return upstream.allowance >= 1
        return True

    def allow(self, now, upstream, warmth):
        share = self.core.budget.rate.rate(now) / max(1, len(self.core.pick.members))
        gained = (now - upstream.allowed_at) / S * share * warmth
        upstream.allowance = min(upstream.allowance + gained, 1.0)
        upstream.allowed_at = now

    def send(self, now, operation, upstream):
        if not self.may(now, operation, upstream):
            return False
        if upstream.warm_from is not None:
            upstream.allowance -= 1
        core = self.core
        dispatch = Dispatch(operation, upstream, now)
        operation.dispatches.append(dispatch)
        operation.out += 1
        upstream.pending[dispatch] = True
        core.sent_out += 1
        core.budget.rate.add(now)
        core.out.append(("dispatch", dispatch, operation.not_after - now))
        return True

    def ended(self, now, dispatch):
        dispatch.operation.out -= 1
        dispatch.upstream.pending.pop(dispatch, None)
        self.core.sent_out -= 1
        self.outer.ended(now, dispatch)


class Discovery:
    """Asks where asking is wanted, spread out so that all instances together don't bury the list."""

    def __init__(self, core):
        self.core, self.asks = core, core.settings.get("asks")
        self.within = core.settings.get("ask_within_ns", 10 * S)
        self.watching, self.asked, self.failures = False, core.now, 0
        if self.asks:
            core.later(core.now + int(core.chance() * min(S, self.within / 8)), self.ask, None)

    def ask(self, now, _):
        if self.watching and now - self.asked < self.within / 2:
            return
        self.watching, self.asked = True, now
        self.core.out.append(("watch",))

    def failed(self, now):
        if self.asks:
            self.watching = False
            self.failures += 1
            span = min(self.within / 4, S * 2 ** min(self.failures, 3))
            self.core.later(now + int(span * (0.3 + 0.7 * self.core.chance())), self.ask, None)

    def silent(self, now):
        return bool(self.asks) and not self.watching and now - self.asked > self.within


class Balancer:
    """One balancer: its chain, its clockwork and the calls that pepperhook/model.py describes."""

    def __init__(self, settings, seed, now):
        if not settings.get("grades"):
            raise Missing("settings: grades are missing")
        self.settings, self.seed, self.now, self.counter = settings, seed, now, 0
        self.balancers = max(1, settings.get("balancers", 1))
        self.index = settings.get("me", 0) % self.balancers
        self.lead = max(settings.get("tick_ns", MS), MS) * 2
        self.out, self.agenda, self.wanted, self.sent_out = [], [], None, 0
        stages = [Answers(self), Shares(self), Gate(self), Budget(self), Pick(self), Sender(self)]
        for outer, inner in zip(stages, stages[1:]):
            outer.inner, inner.outer = inner, outer
        self.answers, self.shares, self.gate, self.budget, self.pick, self.sender = stages
        self.discovery = Discovery(self)
        self.later(now + REVIEW, self.review, None)

    def chance(self):
        self.counter += 1
        return crc32(b"%d %d" % (self.seed, self.counter)) / 2 ** 32

    def later(self, at, what, about):
        self.counter += 1
        heappush(self.agenda, (at, self.counter, what, about))

    def review(self, now, _):
        self.later(now + REVIEW, self.review, None)
        self.pick.review(now)
        self.gate.release(now)

    def results(self):
        if self.agenda and (self.wanted is None or self.agenda[0][0] < self.wanted):
            self.wanted = self.agenda[0][0]
            self.out.append(("wake", self.wanted))
        out, self.out = self.out, []
        return out

    def listing(self, now, whole, rows):
        self.now = now
        self.pick.listing(now, whole, rows)
        self.discovery.failures = 0
        return self.results()

    def listing_failed(self, now):
        self.now = now
        self.discovery.failed(now)
        return self.results()

    def take(self, now, operation):
        self.now = now
        self.answers.take(now, operation)
        return self.results()

    def started(self, now, dispatch):
        self.now = now
        dispatch.operation.streaming = True
        return self.results()

    def ended(self, now, dispatch, outcome, took, final, report=None):
        self.now = now
        if dispatch.outcome is None:
            dispatch.outcome, dispatch.took = outcome, took
            dispatch.operation.over |= final
            if report:
                dispatch.upstream.report, dispatch.upstream.report_at = report, now
            self.sender.ended(now, dispatch)
        return self.results()

    def left(self, now, operation):
        self.now = now
        operation.over = True
        if operation.waiting:
            self.gate.queue.remove(operation)
            operation.waiting = False
        return self.results()

    def probed(self, now, upstream, outcome, took, report=None):
        self.now = now
        if upstream.times is not None:
            self.pick.probed(now, upstream, outcome)
        return self.results()

    def heard(self, now, peer, body):
        self.now = now
        return self.results()

    def wake(self, now):
        self.now = now
        if self.wanted is not None and now >= self.wanted:
            self.wanted = None
        while self.agenda and self.agenda[0][0] <= now:
            _, _, what, about = heappop(self.agenda)
            what(now, about)
        return self.results()
