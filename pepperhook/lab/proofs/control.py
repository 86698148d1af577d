"""Streamed configuration: twenty balancers and a control plane that is killed during a rollout."""

import os
import re
import signal
import subprocess
import sys
import time

from msgspec.structs import replace

from pepperhook.lab import defects
from pepperhook.lab.experiment import Fault, Variant
from pepperhook.lab.proofs.base import Proof
from pepperhook.lab.scenario_run import ROOT, RunError, ScenarioRun, parse_log_time

SECRET = "the secret of this installation"
# Runs the command line interface, with the defect of `pepperhook.lab.defects` that the first
# argument names, if any.
CLI_WITH_DEFECT = """
import sys
from pepperhook.lab import defects
if sys.argv[1]:
    defects.DEFECTS[sys.argv[1]]()
from pepperhook.cli import main
main(sys.argv[2:])
"""
MAX_ROLLOUT_S = 2.0  # until a valid version runs on all balancers
LOG_LINE = re.compile(r"^time=(\S+) .* event=(\S+) ?(.*)$")
CONTROL_PLANE_DEFECTS = ("lease-forever",)


class ControlledScenarioRun(ScenarioRun):
    """A run with a control plane, in which ``defect`` may be injected into the control plane."""

    def __init__(self, *arguments, defect=None, **options):
        super().__init__(*arguments, **options)
        self.address = f"127.{self.plan.block}.240.1:7400"
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "keys").write_text(f"k1 {SECRET}\n")
        self.control_plane, self.defect = None, defect

    def start_control_plane(self):
        """Start the control plane on its address and store."""
        with open(self.folder / "control.log", "ab") as log:
            self.control_plane = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    CLI_WITH_DEFECT,
                    self.defect or "",
                    "control",
                    "serve",
                    "--listen",
                    self.address,
                    "--store",
                    str(self.folder / "control.db"),
                    "--keys",
                    str(self.folder / "keys"),
                    "--lease",
                    "3",
                ],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
                cwd=ROOT,
                start_new_session=True,
            )

    def request(self, method, path, body=None):
        """Return (status, response) of a request to the control plane.

        Retries for about 10 s, since the control plane may have just been started. Raises RunError
        if it does not answer.
        """
        import click

        from pepperhook.cli.control_client import ServiceClient
        from pepperhook.key_ring import KeyRing

        client = ServiceClient(self.address, KeyRing([("k1", SECRET)]))

        for _ in range(100):
            try:
                return client.request(method, path, body)
            except click.ClickException as error:
                last_error = error
                time.sleep(0.1)
        raise RunError(f"the control plane does not answer: {last_error}")

    def start_processes(self, load=True):
        """Start the control plane before the other processes."""
        self.start_control_plane()
        self.request("GET", "/v1/members")
        super().start_processes(load)

    def stop_processes(self):
        """Stop the control plane after the other processes."""
        super().stop_processes()
        if self.control_plane is not None and self.control_plane.poll() is None:
            self.control_plane.terminate()
            try:
                self.control_plane.wait(10)
            except subprocess.TimeoutExpired:
                self.control_plane.kill()
                self.control_plane.wait()

    def log_rows(self):
        """Return rows of (tier, number, Unix seconds, event, fields) of the balancers' logs."""
        rows = []
        for (tier, number), balancer in self.balancers.items():
            if os.path.exists(balancer.log):
                with open(balancer.log, encoding="utf-8", errors="replace") as file:
                    rows += [
                        (tier, number, parse_log_time(match[1]), match[2], match[3])
                        for line in file
                        if (match := LOG_LINE.match(line))
                    ]
        return rows


class ControlProof(Proof):
    """All of twenty balancers reject an invalid version with its reason and run a valid one within
    two seconds, and a staged rollout completes although the control plane and three balancers are
    killed during it; no request is lost or executed twice."""

    name = "control"
    plants = {
        "applied-before-checked": "a balancer applies a version before it checks it",
        "checks-deaf": "the balancers find no violation in any version",
        "half-version": "a partly received version is accepted",
        "lease-forever": "the lease of a member never expires",
    }

    def script(self, responses):
        """Return the actions of the run, rows of (seconds, callable); they store responses by name."""

        def propose(document, name, **fields):
            def action(run):
                status, response = run.request(
                    "POST",
                    "/v1/versions",
                    {
                        "document": {"version": 1, **document},
                        "author": "proof",
                        "reason": name,
                        **fields,
                    },
                )
                responses[name] = (
                    response["number"] if status == 200 else (status, response.get("error"))
                )

            return action

        def begin_rollout(name, steps, patience=60.0):
            def action(run):
                responses[f"{name} at"] = time.time()
                status, response = run.request(
                    "POST",
                    "/v1/rollout",
                    {"version": responses[name], "steps": steps, "patience_s": patience},
                )
                responses[f"{name} rollout"] = status == 200 or response

            return action

        def roll_back(run):
            responses["held"] = run.request("GET", "/v1/rollout")[1]
            status, response = run.request("POST", "/v1/rollout/back", {"why": "refused"})
            responses["back"] = response.get("back_to") if status == 200 else response

        def kill_control_plane(run):
            responses["before the kill"] = run.request("GET", "/v1/rollout")[1]
            run.control_plane.send_signal(signal.SIGKILL)
            run.control_plane.wait()

        def read_members(name):
            def action(run):
                responses[name] = run.request("GET", "/v1/members")[1]

            return action

        one_step = [{"share": 1.0, "seconds": 0.0}]
        look_settings = {"goal_ms": 500.0, "earnings": 1.2}
        return [
            # A version that is applied everywhere, and one that the control plane must reject since
            # it allows retries of unsafe requests.
            (0.5, propose({"grades": {"sale": {"effect": "at_most_once"}}}, "first")),
            (0.6, begin_rollout("first", one_step, 0.1)),
            (1.5, propose({"grades": {"sale": {"effect": "idempotent"}}}, "repeats sales")),
            (2.0, lambda run: run.request("POST", "/v1/rollout/back", {"why": "over"})),
            # An invalid version, which all balancers must reject.
            (2.2, propose({"grades": {"look": {"goal_ms": 4000.0}}}, "bad")),
            (2.4, begin_rollout("bad", one_step)),
            (5.0, roll_back),
            # A valid version, which all must run within `MAX_ROLLOUT_S`.
            (
                6.0,
                propose(
                    {"grades": {"look": look_settings, "hold": {"effect": "at_most_once"}}}, "good"
                ),
            ),
            (6.2, begin_rollout("good", one_step)),
            (9.0, lambda run: run.request("POST", "/v1/rollout/back", {"why": "next"})),
            # A staged rollout, during which the control plane is killed.
            (9.5, propose({"grades": {"look": {"goal_ms": 450.0}}}, "staged")),
            (
                9.7,
                begin_rollout(
                    "staged", [{"share": 0.3, "seconds": 1.0}, {"share": 1.0, "seconds": 0.0}]
                ),
            ),
            (10.2, kill_control_plane),
            (11.5, lambda run: run.start_control_plane()),
            (13.0, read_members("while balancers are down")),
            (self.scenario.seconds - 0.5, read_members("end")),
            (
                self.scenario.seconds - 0.4,
                lambda run: responses.update(ended=run.request("GET", "/v1/rollout")[1]),
            ),
        ]

    def run(self):
        """Play the script once and check the logs, the members and the rollouts."""
        responses, scenario = {}, self.scenario
        seconds = 60.0 if self.full else scenario.seconds
        scenario = self.scenario = replace(
            scenario,
            seconds=seconds,
            faults=[
                Fault(type="kill_balancer", start_s=10.4, duration_s=1.6, target_numbers=[1, 4, 7]),
                # A balancer that is not restarted: its lease expires.
                Fault(type="kill_balancer", start_s=8.0, duration_s=seconds, target_numbers=[9]),
            ],
        )
        variant = Variant(
            name="controlled",
            defect=self.plant
            if self.plant in defects.DEFECTS
            and self.plant not in CONTROL_PLANE_DEFECTS + ("half-version",)
            else None,
            operator={
                "control": {
                    "address": "placeholder:1",
                    "state": "{folder}/good-{tier}-{number}.json",
                    "keys": [{"id": "k1", "secret": SECRET}],
                }
            },
        )
        run = ControlledScenarioRun(
            scenario,
            variant,
            self.seed,
            self.folder / "controlled",
            defect=self.plant if self.plant in CONTROL_PLANE_DEFECTS else None,
            extra_actions=self.script(responses),
        )
        run.variant = replace(
            variant, operator={"control": {**variant.operator["control"], "address": run.address}}
        )
        result = run.play()
        if result["void"]:
            raise RunError("the run had too little CPU time; this machine is too busy")
        self.report_progress("controlled", 0.9)
        problems = [finding["name"] for finding in result["findings"]]
        rows, fleet = run.log_rows(), len(run.balancers)
        applied = {}
        for tier, number, at, event, fields in rows:
            if event == "version_applied" and (match := re.search(r"version=(\d+)", fields)):
                applied.setdefault(int(match[1]), {}).setdefault((tier, number), at)
        rejecting = {
            (tier, number)
            for tier, number, _, event, fields in rows
            if event == "version_rejected" and "goal" in fields
        }
        if (
            not isinstance(responses.get("repeats sales"), tuple)
            or responses["repeats sales"][0] != 422
        ):
            problems.append(
                "a version that allows retries of unsafe requests was accepted: "
                f"{responses.get('repeats sales')}"
            )
        if len(rejecting) != fleet or responses.get("bad") in applied:
            problems.append(
                f"the invalid version was rejected by {len(rejecting)} of {fleet} balancers "
                f"and applied by {len(applied.get(responses.get('bad'), ()))}"
            )
        rollout = responses.get("held") or {}
        if rollout.get("state") != "held" or "goal" not in rollout.get("why", ""):
            problems.append(
                f"the rollout of the invalid version was {rollout.get('state')}: "
                f"{rollout.get('why')}"
            )
        durations_s = sorted(
            at - responses["good at"]
            for (tier, number), at in applied.get(responses.get("good"), {}).items()
            if (tier, number) != (0, 9)
        )
        expected = fleet - 1
        if len(durations_s) != expected or durations_s[-1] > MAX_ROLLOUT_S:
            problems.append(
                "the valid version ran on "
                f"{sum(duration <= MAX_ROLLOUT_S for duration in durations_s)} of {expected} "
                f"balancers within {MAX_ROLLOUT_S:g} s"
            )
        if (responses.get("ended") or {}).get("state") != "done":
            problems.append(f"the staged rollout ended {responses.get('ended')}")
        if (responses.get("before the kill") or {}).get("state") != "going":
            problems.append(
                "the staged rollout was completed before the control plane was killed: "
                f"{responses.get('before the kill')}"
            )
        end = responses.get("end") or {"members": {}, "gone": {}}
        running = {name: row["running"] for name, row in end["members"].items()}
        if sorted(running) != sorted(
            f"b{tier}-{number}" for tier, number in run.balancers if (tier, number) != (0, 9)
        ) or set(running.values()) != {responses.get("staged")}:
            problems.append(
                f"at the end {len(running)} members ran the versions "
                f"{sorted(set(running.values()))}, expected {responses.get('staged')}"
            )
        # What each process logged at SIGUSR1.
        logged_versions = {}
        for tier, number, _, event, fields in rows:
            if (
                event == "part"
                and "name=control" in fields
                and (match := re.search(r"version=(\d+)", fields))
            ):
                logged_versions[f"b{tier}-{number}"] = int(match[1])
        if any(logged_versions.get(name) != number for name, number in running.items()):
            problems.append("the control plane and the balancers disagree on the versions they run")
        if "b0-9" not in end["gone"] or "b0-9" in end["members"]:
            problems.append("a balancer that was killed and not restarted is not listed as gone")
        problems += self.check_broken_streams()
        figures = result["figures"]
        if figures["goodput"] < 0.95:
            problems.append(f"goodput {figures['goodput']}")
        return not problems, {
            "wrong": problems[:10],
            "balancers": fleet,
            "refused_by": len(rejecting),
            "good_on_all_s": round(durations_s[-1], 2) if durations_s else None,
            "good_median_s": round(durations_s[len(durations_s) // 2], 2) if durations_s else None,
            "core_wait_ms": result["core_wait"]["worst_ms"],
            "goodput": figures["goodput"],
            "wishes": figures["wishes"],
            "excused": result["excused"],
        }

    def check_broken_streams(self):
        """Check that a stream that is cut or corrupted at any byte gives no wrong version."""
        from pepperhook.control_plane import frames
        from pepperhook.control_plane.version import Version, sign_version
        from pepperhook.key_ring import KeyRing

        if self.plant == "half-version":
            defects.DEFECTS[self.plant]()
        version = sign_version(
            Version(
                number=1,
                parent=0,
                author="",
                reason="",
                made_ms=0,
                document={
                    "version": 1,
                    "grades": {f"g{number}": {"goal_ms": float(number)} for number in range(30)},
                },
            ),
            KeyRing([("k1", SECRET)]),
        )
        data = b"".join(frames.encode_version(version))
        for position in range(len(data)):
            corrupted = bytearray(data)
            corrupted[position] ^= 0x10
            for stream in (data[:position], bytes(corrupted)):
                try:
                    versions = frames.FrameReader(lambda number: None).feed(stream)
                except frames.StreamError:
                    continue
                except ValueError:
                    return [f"a stream broken at byte {position} is read as a version"]
                if (
                    any(received != version for received in versions)
                    or versions
                    and len(stream) < len(data)
                ):
                    return [f"a stream broken at byte {position} gives a wrong version"]
        return []
