"""A seeded soak of a whole fleet: signals, restarts, disks that fill or are lost, and changes, in series that overlap.

Of the machines with a disk at most one is in trouble at a time, and the next trouble comes once it counts no longer as lost:
that is what the fleet must bear without losing an acknowledged change. Nodes without a disk and servers may go in any number.
Nobody restarts a process because its disk was full.
"""

import os
import random
import shutil
import signal
import threading
import time

from fleet_runner.calls import version_key

LOSS_COUNTS_S = 4.5
"""A machine counts as lost for 4 s after its return; a little more, for the time that a process takes to start."""
CHANGE_GAP_S = 0.3
CHANGE_DEADLINE_MS = 2000
IN_FORCE_S = 3.0
"""An acknowledged change is in force on a majority of the nodes at once and on all others within this time: until then a
gateway may read out the version before it."""
CHANGE_REPEATED_S = 25.0
"""A change without a clear answer is sent again with the same key for so long; the fleet must serve again within 12 s."""


class Soak:
    """The series of one soak. Each runs on a thread of its own, draws from its own seed and ends by itself after `stop`."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ended = threading.Event()
        self.threads = []
        self.taken = 0
        self.unanswered = []

    def start(self):
        for number, series in enumerate((self._changes, self._controllers, self._gateways, self._freezes, self._servers)):
            source = random.Random(self.fleet.seed * 1000 + number)
            self.threads.append(threading.Thread(target=series, args=(source,)))
            self.threads[-1].start()

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()
        self.fleet.say(f"soak: {self.taken} changes taken, {len(self.unanswered)} without a clear answer")
        self.fleet.complaints += [f"{key} had no clear answer for {CHANGE_REPEATED_S:.0f} s" for key in self.unanswered]
        self._await_full_strength()

    def _await_full_strength(self):
        """All troubles are over: every controller may vote again before the last one would count as lost no longer."""
        until = time.monotonic() + LOSS_COUNTS_S
        while time.monotonic() < until:
            machine, view = self.fleet.control()
            if machine and len(view["witnesses"]) == 3 and all(witness["can_vote"] for witness in view["witnesses"]):
                return
            time.sleep(0.1)
        self.fleet.complaints.append(f"votes are missing at the end: {view and view['witnesses']}")

    def _rest(self, seconds):
        """False once the soak is to end."""
        return not self.ended.wait(seconds)

    def _running(self, name):
        process = self.fleet.procs.get(name)
        return process is not None and process.poll() is None

    def _signal(self, name, number):
        if self._running(name):
            self.fleet.procs[name].send_signal(number)

    def _await_end(self, name, within=10):
        try:
            self.fleet.procs[name].wait(within)
        except Exception:
            self.fleet.complaints.append(f"{name} did not end within {within} s of its SIGTERM")
            self.fleet.kill(name)

    def _changes(self, source):
        fleet = self.fleet
        number = 0
        while self._rest(CHANGE_GAP_S):
            number += 1
            due = self._newest_acknowledged(time.monotonic() - IN_FORCE_S)
            version, document = fleet.current_version()
            if version is None:
                continue
            if version_key(version) < due:
                fleet.complaints.append(f"{version} is read {IN_FORCE_S:.0f} s after {due} was acknowledged")
            name = source.choice(sorted(document["routes"]))
            body = {"routes": {name: {"deadline_ms": 1500 + number}}}
            self._change(body, version, f"soak-{fleet.seed}-{number}")

    def _newest_acknowledged(self, until=float("inf")):
        return max((version_key(version) for at, version, _, _ in self.fleet.acks if at <= until), default=(0, 0))

    def _change(self, body, base, key):
        """Sends a change until it has a clear answer, as an operator does."""
        fleet = self.fleet
        until = time.monotonic() + CHANGE_REPEATED_S
        while time.monotonic() < until:
            if not fleet.gateways():
                time.sleep(0.2)
                continue
            before = len(fleet.unknowns)
            status, answer = fleet.change("PATCH", body, base=base, change=key, deadline_ms=CHANGE_DEADLINE_MS)
            del fleet.unknowns[before:]
            if status == 200:
                self.taken += 1
                return
            if answer["outcome"] in ("refused", "conflict"):
                if answer["outcome"] == "refused" or version_key(base) >= self._newest_acknowledged():
                    fleet.complaints.append(f"{key} on {base}: {answer['outcome']}, though nobody else makes changes")
                return
            time.sleep(0.2)
        self.unanswered.append(key)
        fleet.unknowns.append((time.monotonic(), body, key))

    def _controllers(self, source):
        machines = [machine for machine in self.fleet.machines if machine["disk"]]
        troubles = [self._full_disk, self._full_disk, self._lost_disk, self._killed, self._frozen, self._warned]
        while self._rest(LOSS_COUNTS_S):
            machine = source.choice(machines)
            source.choice(troubles)(machine, "controller-" + machine["name"], source.uniform(1.0, 4.5))

    def _full_disk(self, _, name, seconds):
        self.fleet.order(name, full=1)
        self.fleet.say(f"the disk of {name} is full for {seconds:.1f} s")
        time.sleep(seconds)
        self.fleet.order(name)

    def _lost_disk(self, machine, name, seconds):
        self.fleet.kill(name)
        shutil.rmtree(os.path.join(self.fleet.folder, "data-" + machine["name"]), ignore_errors=True)
        self.fleet.say(f"{name} and its disk are lost, back in {seconds:.1f} s")
        time.sleep(seconds)
        self.fleet.start_controller(machine)

    def _killed(self, machine, name, seconds):
        self.fleet.kill(name)
        self.fleet.say(f"{name} is killed, back in {seconds:.1f} s")
        time.sleep(seconds)
        self.fleet.start_controller(machine)

    def _frozen(self, _, name, seconds):
        self._signal(name, signal.SIGSTOP)
        self.fleet.say(f"{name} is frozen for {seconds:.1f} s")
        time.sleep(seconds)
        self._signal(name, signal.SIGCONT)

    def _warned(self, machine, name, _):
        self._signal(name, signal.SIGTERM)
        self.fleet.say(f"{name} is told to end")
        self._await_end(name)
        self.fleet.start_controller(machine)

    def _gateways(self, source):
        """Restarts in series: by SIGTERM, with SIGHUPs before and during the drain, or by SIGKILL. A third at most at once."""
        while self._rest(source.uniform(0.3, 2.0)):
            series = source.sample(self.fleet.machines, source.randint(1, len(self.fleet.machines) // 3))
            how = source.choice([signal.SIGTERM, signal.SIGTERM, signal.SIGKILL])
            for machine in series:
                name = "gateway-" + machine["name"]
                for _ in range(source.randint(0, 3)):
                    self._signal(name, signal.SIGHUP)
                self._signal(name, signal.SIGCONT)
                self._signal(name, how)
                if source.random() < 0.3:
                    self._signal(name, signal.SIGHUP)
            self.fleet.say(f"gateways {' '.join(machine['name'] for machine in series)}: {how.name}")
            for machine in series:
                self._await_end("gateway-" + machine["name"])
                self.fleet.start_gateway(machine)

    def _freezes(self, source):
        while self._rest(source.uniform(1.0, 4.0)):
            name = "gateway-" + source.choice(self.fleet.machines)["name"]
            self._signal(name, signal.SIGSTOP)
            self._rest(source.uniform(0.2, 3.0))
            self._signal(name, signal.SIGCONT)

    def _servers(self, source):
        while self._rest(source.uniform(1.0, 4.0)):
            server = source.choice(self.fleet.servers)
            self.fleet.kill(server["name"])
            self._rest(source.uniform(0.2, 2.0))
            self.fleet.start_server(server)
