"""Membership: twenty balancers over sockets, and up to a thousand members in virtual time."""

import re
import signal
import socket
import time
from math import e, log10
from statistics import mean

from pepperhook.key_ring import KeyRing
from pepperhook.lab import defects, gossip
from pepperhook.lab.experiment import Variant
from pepperhook.lab.proofs.base import Proof
from pepperhook.lab.scenario_run import RunError, ScenarioRun, parse_log_time
from pepperhook.membership import datagram, fleet_position
from pepperhook.membership.messages import MemberRecord, MemberState, Message, MessageType
from pepperhook.membership.settings import NS_PER_S

SECRET = "the secret of this installation"
LOG_LINE = re.compile(r"^time=(\S+) .* event=(\S+) ?(.*)$")
PERIOD_MS, SUSPICION = 400.0, 2.0  # probe period, suspicion multiplier
DEAD = {(0, 3), (0, 6)}  # (tier, number) of the balancers that the experiment kills for good
STOPPED = (1, 2)  # (tier, number) of the balancer that is stopped for one second
# Periods until a dead member is first probed, on average, as published (SWIM, section 3.2).
FIRST_PROBE_PERIODS = e / (e - 1)


class MembershipProof(Proof):
    """Of twenty balancers all detect the dead and none declares a live one lost, forged datagrams
    change nothing, and each has its own fleet index; in virtual time detection, false suspicions
    and load are as published, from 20 to 1000 members, and no part of a partitioned network lowers
    its fleet size and so takes more than its share."""

    name = "membership"
    plants = {
        "incarnation-ignored": "updates on a member count whatever incarnation they are about",
        "suspected-for-ever": "a suspected member is never declared lost",
        "falls-in-a-half": "the fleet size falls in any part of a partitioned network",
        "away-unheeded": "a stalled process continues as if it had run all the time",
        "any-key": "datagrams with any signature are accepted",
    }

    def run(self):
        """Run the simulations, and then the run over sockets unless they detected a defect."""
        if self.plant:
            defects.DEFECTS[self.plant]()
        problems, figures = [], {}
        for name, simulate in (
            ("deaths", self.deaths),
            ("load", self.load),
            ("loss", self.loss),
            ("split", self.split),
            ("stood still", self.stall),
        ):
            self.report_progress(name, 0.1)
            found_problems, figures[name] = simulate()
            problems += found_problems
        if problems and self.plant:
            return False, {"wrong": problems[:12], **figures}
        self.report_progress("twenty balancers", 0.5)
        found_problems, figures["twenty on sockets"] = self.sockets()
        problems += found_problems
        return not problems, {"wrong": problems[:12], **figures}

    # In virtual time.

    def large_fleet(self):
        """Return the number of members of the large simulations."""
        return 1000 if self.full else 120

    def deaths(self):
        """Measure how many periods a death takes to be suspected, confirmed and known by all."""
        count, problems, figures = self.large_fleet(), [], {}
        for members in (20, count):
            network = gossip.converged_network(members, self.seed, tiers=2)
            for number in range(5, 5 + (12 if self.full else 8)):
                network.kill(f"m{number:04}")
                network.run(network.now / NS_PER_S + 1.7)
            network.run(network.now / NS_PER_S + 40)
            deaths = network.figures().deaths
            if not network.has_converged() or any(death.known is None for death in deaths):
                problems.append(
                    f"of {members} members not all know of "
                    f"{sum(death.known is None for death in deaths)} deaths"
                )
                continue
            # In periods, with all confirmations.
            shortest_suspicion = 3.0 * log10(members - len(deaths))
            figures[members] = {
                "suspected": round(mean(death.suspected for death in deaths) / NS_PER_S, 2),
                "published_first_probe": round(FIRST_PROBE_PERIODS, 2),
                "lost": round(mean(death.lost for death in deaths) / NS_PER_S, 2),
                "shortest_suspicion": round(shortest_suspicion, 2),
                "known_by_all": round(mean(death.known for death in deaths) / NS_PER_S, 2),
                "known_by_all_at_most": round(max(death.known for death in deaths) / NS_PER_S, 2),
            }
            # A member is suspected only at the end of the period of the probe that failed.
            if not figures[members]["suspected"] < FIRST_PROBE_PERIODS + 1 + 0.8 or not figures[
                members
            ]["lost"] < FIRST_PROBE_PERIODS + 2 + 9.0 * log10(members):
                problems.append(f"deaths among {members} were detected late: {figures[members]}")
        return problems, figures

    def load(self):
        """Measure the datagrams per member and period, which must not depend on the fleet size.

        Also measures the datagrams per second of the busiest member, a seed, while all join.
        """
        problems, figures = [], {}
        for members in (20, self.large_fleet()):
            network = gossip.converged_network(members, self.seed + 1)
            joined_s, busiest_rate = (
                network.now / NS_PER_S,
                max(network.sent.values()) / (network.now / NS_PER_S),
            )
            before = sum(network.sent.values())
            network.run(network.now / NS_PER_S + 20)
            per_member = (sum(network.sent.values()) - before) / 20 / members
            figures[members] = {
                "datagrams_a_period": round(per_member, 2),
                "joined_in_s": round(joined_s, 1),
                "busiest_while_joining_a_s": round(busiest_rate),
            }
            if per_member > 2.5:
                problems.append(
                    f"each of {members} members sends {per_member:.2f} datagrams per period"
                )
        return problems, figures

    def loss(self):
        """Lose 5% of all datagrams: live members may be suspected, but not declared lost."""
        network = gossip.converged_network(self.large_fleet() // 4, self.seed + 2, loss=0.05)
        network.run(network.now / NS_PER_S + 120)
        network.kill("m0005")
        network.run(network.now / NS_PER_S + 40)
        run_figures = network.figures()
        figures = {
            "members": run_figures.members,
            "loss": 0.05,
            "suspicions_a_member_an_hour": round(
                run_figures.suspected / run_figures.members / network.now * NS_PER_S * 3600, 2
            ),
            "refuted": run_figures.refuted,
            "falsely_lost": run_figures.falsely_lost,
        }
        problems = []
        if run_figures.falsely_lost or not network.has_converged():
            problems.append(
                f"with datagram loss a live member was declared lost "
                f"{run_figures.falsely_lost} times"
            )
        if not run_figures.refuted:
            problems.append("no member had to refute a suspicion; the run shows nothing")
        return problems, figures

    def split(self):
        """Partition a network of forty into halves: neither may lower its fleet size."""
        network, count = gossip.converged_network(40, self.seed + 3), 40
        positions = {
            name: fleet_position.FleetPosition(name, count, 18 * NS_PER_S)
            for name in network.members
        }

        def pass_time(seconds):
            for _ in range(seconds):
                network.run(network.now / NS_PER_S + 1)
                for name, member in network.members.items():
                    table = member.protocol.table
                    positions[name].update(
                        network.now, table.present_names(), table.departed_names()
                    )
                    positions[name].settle(network.now)

        pass_time(5)
        half = {f"m{number:04}" for number in range(20)}
        network.is_blocked = lambda sender, receiver: (sender in half) != (receiver in half)
        pass_time(90)
        fleet_sizes = sorted({position.count for position in positions.values()})
        network.is_blocked = lambda sender, receiver: False
        pass_time(60)
        problems = (
            []
            if fleet_sizes == [count]
            else [f"in halves of a partitioned network fleet sizes were {fleet_sizes}, not {count}"]
        )
        indexes = sorted(position.index for position in positions.values())
        if not network.has_converged() or indexes != list(range(count)):
            problems.append("the halves do not agree after the partition")
        return problems, {
            "counted_in_the_halves": fleet_sizes,
            "agreed_again": network.has_converged(),
        }

    def stall(self):
        """Stall a member for a minute while it suspects another, which is reachable again soon.

        The stalled member must not declare the other one lost when it continues.
        """
        network = gossip.converged_network(20, self.seed + 4)
        network.is_blocked = lambda sender, receiver: "m0007" in (sender, receiver)
        protocol = network.members["m0005"].protocol
        while protocol.table.record_of("m0007").state != MemberState.SUSPECT:
            network.step()
        network.pause("m0005")
        network.is_blocked = lambda sender, receiver: False
        network.run(network.now / NS_PER_S + 60)
        before = protocol.counters.suspected
        network.resume("m0005")
        network.run(network.now / NS_PER_S + 0.9)
        suspicions = protocol.counters.suspected - before
        network.run(network.now / NS_PER_S + 40)
        problems = [f"a stalled member suspected {suspicions} others"] if suspicions else []
        if network.false_lost:
            problems.append(
                f"after the stall of a member a live one was declared lost {network.false_lost} times"
            )
        if not network.has_converged():
            problems.append("the members do not agree after the stalled one continued")
        return problems, {
            "suspected_by_it": suspicions,
            "taken_for_lost": network.false_lost,
            "agreed_again": network.has_converged(),
        }

    # Over sockets.

    def sockets(self):
        """Play a run of twenty balancers with deaths, a stall and forged datagrams."""

        def stop(run):
            run.balancers[STOPPED].send_signal(signal.SIGSTOP)

        def resume(run):
            run.balancers[STOPPED].send_signal(signal.SIGCONT)

        def forge_datagrams(run):
            """Send datagrams with an unknown key: b0-0 says that all others have left."""
            destination = run.plan.peers(0, 1)
            sender = MemberRecord("b0-0", run.plan.peers(0, 0), 0, 10**15)
            records = [
                MemberRecord(f"b0-{number}", run.plan.peers(0, number), 0, 10**15, MemberState.LEFT)
                for number in range(2, 10)
            ]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
                data = datagram.encode(
                    Message(MessageType.PING, 1, sender, "b0-1", None, records),
                    KeyRing([("k1", "not the secret at all")]),
                )
                for _ in range(5):
                    client.sendto(data, destination)

        scenario = self.scenario
        variant = Variant(
            name="gossip",
            defect=self.plant,
            operator={
                "gossip": {
                    "listen": "{peer}",
                    "seeds": ["{peer_0}", "{peer_1}", "{peer_2}"],
                    "place": True,
                    "period_ms": PERIOD_MS,
                    "suspicion": SUSPICION,
                    "keys": [{"id": "k1", "secret": SECRET}],
                }
            },
        )
        run = ScenarioRun(
            scenario,
            variant,
            self.seed,
            self.folder / "gossip",
            extra_actions=[(9.0, stop), (10.0, resume), (11.0, forge_datagrams)],
        )
        result = run.play()
        if result["interrupted"]:
            raise KeyboardInterrupt
        if result["void"]:
            raise RunError("the run had too little CPU time; this machine is too busy")
        problems = [finding["name"] for finding in result["findings"]]
        fleet = len(run.balancers)
        living = sorted(key for key in run.balancers if key not in DEAD)
        lost, left, last_positions, parts = {}, {}, {}, {}
        start = self.unix_start(run)
        for tier, number, at, event, fields in log_rows(run):
            if at > start + scenario.seconds:
                continue  # all balancers are shut down after the run
            if event == "member":
                pairs = dict(pair.split("=", 1) for pair in fields.split())
                if pairs["state"] in ("lost", "left"):
                    (lost if pairs["state"] == "lost" else left).setdefault(
                        pairs["name"], {}
                    ).setdefault((tier, number), at)
            elif event == "fleet_position":
                last_positions[tier, number] = dict(pair.split("=", 1) for pair in fields.split())
            elif event == "part" and "name=gossip" in fields:
                parts[tier, number] = dict(pair.split("=", 1) for pair in fields.split())
        detection_s = sorted(
            at - start - 5.0
            for number in (3, 6)
            for key, at in lost.get(f"b0-{number}", {}).items()
            if key[0] == 0
        )
        observers = sum(key[0] == 0 for key in living)
        if len(detection_s) != 2 * observers:
            problems.append(
                f"only {len(detection_s)} of {2 * observers} detections of killed balancers"
            )
        falsely_lost = sorted(set(lost) - {"b0-3", "b0-6"})
        if falsely_lost:
            problems.append(f"declared lost while alive: {falsely_lost}")
        # b0-5 restarts within a second, so some receive its new incarnation before the news that it
        # left.
        if len(left.get("b0-5", ())) < observers // 2:
            problems.append(
                f"{len(left.get('b0-5', ()))} of {observers - 1} were notified that a member left"
            )
        if int(parts.get((0, 1), {}).get("rejected", 0)) < 5:
            problems.append("forged datagrams were not rejected")
        present = {int(row["present"]) for key, row in parts.items() if key in living}
        if present != {fleet - len(DEAD)}:
            problems.append(
                f"at the end {sorted(present)} members were counted, {fleet - len(DEAD)} are alive"
            )
        for tier in (0, 1):
            indexes = sorted(
                int(row["fleet_index"])
                for key, row in parts.items()
                if key in living and key[0] == tier and row["fleet_index"] != "None"
            )
            tier_members = [key for key in living if key[0] == tier]
            fleet_sizes = {
                int(row["fleet_size"])
                for key, row in parts.items()
                if key in living and key[0] == tier
            }
            if indexes != list(range(len(tier_members))) or fleet_sizes != {len(tier_members)}:
                problems.append(
                    f"tier {tier}: fleet indexes {indexes} and sizes {sorted(fleet_sizes)} "
                    f"for {len(tier_members)} balancers"
                )
        figures = result["figures"]
        if figures["goodput"] < 0.95:
            problems.append(f"goodput {figures['goodput']}")
        datagrams_sent = [int(row["datagrams_out"]) for row in parts.values()]
        return problems, {
            "balancers": fleet,
            "lost_known_s": [
                round(detection_s[0], 2),
                round(detection_s[len(detection_s) // 2], 2),
                round(detection_s[-1], 2),
            ]
            if detection_s
            else None,
            "period_s": PERIOD_MS / 1000,
            "datagrams_each": round(mean(datagrams_sent)) if datagrams_sent else 0,
            "suspected": sum(int(row["suspected"]) for row in parts.values()),
            "goodput": figures["goodput"],
            "wishes": figures["wishes"],
            "core_wait_ms": result["core_wait"]["worst_ms"],
        }

    @staticmethod
    def unix_start(run):
        """Return the start of the run in Unix seconds."""
        return (run.start + time.time_ns() - time.monotonic_ns()) / NS_PER_S


def log_rows(run):
    """Return rows of (tier, number, Unix seconds, event, fields) of the logs, in order."""
    rows = []
    for (tier, number), balancer in run.balancers.items():
        with open(balancer.log, encoding="utf-8", errors="replace") as file:
            rows += [
                (tier, number, parse_log_time(match[1]), match[2], match[3])
                for line in file
                if (match := LOG_LINE.match(line))
            ]
    return rows
