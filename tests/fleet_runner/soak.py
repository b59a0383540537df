"""A seeded soak of a whole fleet: signals, restarts, full or lost disks and changes, in series that overlap.

At most one machine with a disk has a fault at a time, and the next fault starts only when that machine counts as lost no
longer: this is what the fleet must tolerate without losing an acknowledged change. Any number of nodes without a disk and of
servers may fail. No process is restarted because its disk was full.
"""

import os
import random
import shutil
import signal
import threading
import time

from fleet_runner.calls import version_key

COUNTS_AS_LOST_S = 4.5
"""A machine counts as lost for 4 s after its return; the rest allows for the start of its process."""
CHANGE_GAP_S = 0.3
CHANGE_DEADLINE_MS = 2000
IN_FORCE_S = 3.0
"""An acknowledged change is in force on a majority of the nodes at once and on all others within this time; until then a
gateway may return the version before it."""
CHANGE_RETRY_S = 25.0
"""How long a change without a clear answer is sent again under the same key; the fleet must serve again within 12 s."""


class Soak:
    """The series of one soak: each runs on its own thread, has its own seed and ends after `stop`."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.stopping = threading.Event()
        self.threads = []
        self.taken = 0
        self.unanswered = []

    def start(self):
        for number, series in enumerate((self._changes, self._controllers, self._gateways, self._freezes, self._servers)):
            rng = random.Random(self.fleet.seed * 1000 + number)
            self.threads.append(threading.Thread(target=series, args=(rng,)))
            self.threads[-1].start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        self.fleet.log(f"soak: {self.taken} changes taken, {len(self.unanswered)} without a clear answer")
        self.fleet.complaints += [f"{key} had no clear answer for {CHANGE_RETRY_S:.0f} s" for key in self.unanswered]
        self._await_full_strength()

    def _await_full_strength(self):
        """After the last fault every controller must be able to vote again within the time that a machine counts as lost."""
        until = time.monotonic() + COUNTS_AS_LOST_S
        while time.monotonic() < until:
            machine, view = self.fleet.find_primary()
            if machine and len(view["witnesses"]) == 3 and all(witness["can_vote"] for witness in view["witnesses"]):
                return
            time.sleep(0.1)
        self.fleet.complaints.append(f"votes are missing at the end: {view and view['witnesses']}")

    def _wait(self, seconds):
        """Waits, and returns False once `stop` was called."""
        return not self.stopping.wait(seconds)

    def _running(self, name):
        process = self.fleet.procs.get(name)
        return process is not None and process.poll() is None

    def _signal(self, name, number):
        if self._running(name):
            self.fleet.procs[name].send_signal(number)

    def _await_exit(self, name, within=10):
        try:
            self.fleet.procs[name].wait(within)
        except Exception:
            self.fleet.complaints.append(f"{name} did not end within {within} s of its SIGTERM")
            self.fleet.kill(name)

    def _changes(self, rng):
        fleet = self.fleet
        number = 0
        while self._wait(CHANGE_GAP_S):
            number += 1
            due = self._newest_acknowledged(time.monotonic() - IN_FORCE_S)
            version, document = fleet.current_version()
            if version is None:
                continue
            if version_key(version) < due:
                fleet.complaints.append(f"{version} is read {IN_FORCE_S:.0f} s after {due} was acknowledged")
            name = rng.choice(sorted(document["routes"]))
            body = {"routes": {name: {"deadline_ms": 1500 + number}}}
            self._change(body, version, f"soak-{fleet.seed}-{number}")

    def _newest_acknowledged(self, until=float("inf")):
        return max((version_key(version) for at, version, _, _ in self.fleet.acks if at <= until), default=(0, 0))

    def _change(self, body, base, key):
        """Sends a change again until it has a clear answer, as an operator does."""
        fleet = self.fleet
        until = time.monotonic() + CHANGE_RETRY_S
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

    def _controllers(self, rng):
        machines = [machine for machine in self.fleet.machines if machine["disk"]]
        faults = [self._full_disk, self._full_disk, self._lost_disk, self._killed, self._frozen, self._terminated]
        while self._wait(COUNTS_AS_LOST_S):
            machine = rng.choice(machines)
            rng.choice(faults)(machine, "controller-" + machine["name"], rng.uniform(1.0, 4.5))

    def _full_disk(self, _, name, seconds):
        self.fleet.set_faults(name, full=1)
        self.fleet.log(f"the disk of {name} is full for {seconds:.1f} s")
        time.sleep(seconds)
        self.fleet.set_faults(name)

    def _lost_disk(self, machine, name, seconds):
        self.fleet.kill(name)
        shutil.rmtree(os.path.join(self.fleet.folder, "data-" + machine["name"]), ignore_errors=True)
        self.fleet.log(f"{name} and its disk are lost, back in {seconds:.1f} s")
        time.sleep(seconds)
        self.fleet.start_controller(machine)

    def _killed(self, machine, name, seconds):
        self.fleet.kill(name)
        self.fleet.log(f"{name} is killed, back in {seconds:.1f} s")
        time.sleep(seconds)
        self.fleet.start_controller(machine)

    def _frozen(self, _, name, seconds):
        self._signal(name, signal.SIGSTOP)
        self.fleet.log(f"{name} is frozen for {seconds:.1f} s")
        time.sleep(seconds)
        self._signal(name, signal.SIGCONT)

    def _terminated(self, machine, name, _):
        self._signal(name, signal.SIGTERM)
        self.fleet.log(f"{name} is told to end")
        self._await_exit(name)
        self.fleet.start_controller(machine)

    def _gateways(self, rng):
        """Restarts up to a third of the gateways at once: by SIGTERM, with SIGHUPs before and during the drain, or by SIGKILL."""
        while self._wait(rng.uniform(0.3, 2.0)):
            series = rng.sample(self.fleet.machines, rng.randint(1, len(self.fleet.machines) // 3))
            how = rng.choice([signal.SIGTERM, signal.SIGTERM, signal.SIGKILL])
            for machine in series:
                name = "gateway-" + machine["name"]
                for _ in range(rng.randint(0, 3)):
                    self._signal(name, signal.SIGHUP)
                self._signal(name, signal.SIGCONT)
                self._signal(name, how)
                if rng.random() < 0.3:
                    self._signal(name, signal.SIGHUP)
            self.fleet.log(f"gateways {' '.join(machine['name'] for machine in series)}: {how.name}")
            for machine in series:
                self._await_exit("gateway-" + machine["name"])
                self.fleet.start_gateway(machine)

    def _freezes(self, rng):
        while self._wait(rng.uniform(1.0, 4.0)):
            name = "gateway-" + rng.choice(self.fleet.machines)["name"]
            self._signal(name, signal.SIGSTOP)
            self._wait(rng.uniform(0.2, 3.0))
            self._signal(name, signal.SIGCONT)

    def _servers(self, rng):
        while self._wait(rng.uniform(1.0, 4.0)):
            server = rng.choice(self.fleet.servers)
            self.fleet.kill(server["name"])
            self._wait(rng.uniform(0.2, 2.0))
            self.fleet.start_server(server)
