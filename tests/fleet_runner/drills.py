"""The drills: each schedules the failures and operator calls of one run."""

import json
import os
import random
import shutil
import signal
import subprocess
import time

from fleet_runner.calls import http_call
from fleet_runner.soak import Soak


class Drills:
    """Each public method is a drill and returns a list of (second, function)."""

    def __init__(self, fleet, seconds):
        self.fleet = fleet
        self.seconds = seconds

    def calm(self):
        return []

    def patches(self, every=7):
        fleet = self.fleet

        def patch(number):
            def act():
                version, document = fleet.current_version()
                if version:
                    name = next(iter(document["routes"]))
                    fleet.change("PATCH", {"routes": {name: {"deadline_ms": 1500 + number}}}, base=version)
            return act
        return [(second, patch(second)) for second in range(4, int(self.seconds) - 4, every)]

    def losses(self):
        fleet = self.fleet
        share = self.seconds / 60.0

        def kill_servers():
            for index in fleet.shape["indexes"]:
                for shard in range(index["shards"]):
                    fleet.kill(f"{index['name']}-{shard}-s{fleet.random.randrange(index['servers'])}")
            fleet.log("killed a server of every shard")

        victim = fleet.machines[-1]

        def kill_gateway():
            fleet.kill("gateway-" + victim["name"])
            fleet.log("killed gateway " + victim["name"])

        def restart_gateway():
            fleet.start_gateway(victim)
            fleet.log("restarted gateway " + victim["name"])

        state = {}

        def kill_primary():
            machine, _ = fleet.find_primary()
            state["primary"] = machine
            fleet.kill("controller-" + machine["name"])
            fleet.log("killed the primary on " + machine["name"])

        def restart_primary():
            fleet.start_controller(state["primary"])
            fleet.log("restarted the controller on " + state["primary"]["name"])

        def replace_disk():
            active, _ = fleet.find_primary()
            old = next(m for m in fleet.machines if m["disk"] and m is not active and m["host"] + ":7001" not in fleet.seeds[:1])
            fleet.kill("controller-" + old["name"])
            fleet.kill("gateway-" + old["name"])
            shutil.rmtree(os.path.join(fleet.folder, "data-" + old["name"]), ignore_errors=True)
            new = fleet.new_machine(old, True)
            fleet.start_machine(new)
            fleet.log(f"replaced {old['name']} by the empty {new['name']} at {new['host']}")

        return [(8 * share, kill_servers), (16 * share, kill_gateway), (24 * share, restart_gateway), (30 * share, kill_primary),
                (38 * share, restart_primary), (44 * share, replace_disk)] + self.patches()

    def leaving(self):
        fleet = self.fleet

        def leave():
            server = next(s for s in fleet.servers if s["mode"] == "forward")
            http_call(fleet.platform, "PATCH", "/server", json.dumps(self.fleet.row(server, leaving=True)))
            fleet.departures.append((time.monotonic(), server["name"]))
            search = next(s for s in fleet.servers if s["mode"] == "search")
            http_call(fleet.platform, "PATCH", "/server", json.dumps(self.fleet.row(search, leaving=True)))
            fleet.departures.append((time.monotonic(), search["name"]))
            fleet.log(f"{server['name']} and {search['name']} leave")

        def empty():
            version, _ = fleet.current_version()
            zone = fleet.shape["zones"][1]
            status, _ = fleet.change("PATCH", {"emptied_zones": [zone]}, base=version)
            if status == 200:
                fleet.emptied_zones.append([time.monotonic(), None, zone])

        def refill():
            version, _ = fleet.current_version()
            fleet.emptied_zones[-1][1] = time.monotonic()
            fleet.change("PATCH", {"emptied_zones": []}, base=version)

        def join():
            server = dict(fleet.servers[0])
            server["name"] = server["service"] + "-s9"
            server["address"] = server["address"].rsplit(".", 1)[0] + ".9:7100"
            server["seed"] = 999
            fleet.servers.append(server)
            fleet.start_server(server)
            time.sleep(0.2)
            http_call(fleet.platform, "PATCH", "/server", json.dumps(self.fleet.row(server)))
            fleet.fresh_servers.append((time.monotonic(), server["name"], server["capacity"], 3.0))
            fleet.log(f"{server['name']} joins fresh")

        share = self.seconds / 60.0
        return [(6 * share, leave), (14 * share, join), (24 * share, empty), (40 * share, refill)]

    def _set_behavior(self, servers, **behavior):
        for server in servers:
            http_call(server["address"], "POST", "/stub_server/control", json.dumps(behavior))

    def _one_of_each_shard(self):
        fleet = self.fleet
        return [fleet.random.choice([s for s in fleet.servers if s["service"] == f"{index['name']}-{shard}"])
                for index in fleet.shape["indexes"] for shard in range(index["shards"])]

    def slow(self):
        def act():
            self._set_behavior(self._one_of_each_shard(), latency_ms=250)
            self.fleet.log("one server of every shard takes 250 ms")
        return [(2, act)]

    def pauses(self):
        def act():
            self._set_behavior(self.fleet.random.sample(self.fleet.servers, max(1, len(self.fleet.servers) // 8)), pause_ms=200)
        return [(second / 2, act) for second in range(6, int(self.seconds) * 2 - 4)]

    def garbage(self):
        def act():
            self._set_behavior(self._one_of_each_shard(), garbage=0.5)
            self._set_behavior([s for s in self.fleet.servers if s["mode"] == "forward"][:2], fail=0.5)
            self.fleet.log("one server of every shard sends garbage half the time, two others fail")

        def heal():
            self._set_behavior([s for s in self.fleet.servers], garbage=0, fail=0)
        return [(4, act), (self.seconds - 8, heal)]

    def vanish(self):
        fleet = self.fleet
        victims = []

        def act():
            victims.extend(self._one_of_each_shard() + [next(s for s in fleet.servers if s["mode"] == "forward")])
            for server in victims:
                fleet.kill(server["name"], signal.SIGSTOP)
            fleet.log("a server of every shard and a forward server vanish without closing")

        def back():
            for server in victims:
                fleet.kill(server["name"], signal.SIGCONT)
            fleet.log("they are back")
        return [(5, act), (self.seconds - 10, back)]

    def shards(self):
        fleet = self.fleet
        index = fleet.shape["indexes"][0]["name"]

        def dead(shard):
            def act():
                for server in fleet.servers:
                    if server["service"] == f"{index}-{shard}":
                        fleet.kill(server["name"])
                fleet.log(f"all servers of shard {shard} are dead")
            return act

        def back():
            for server in fleet.servers:
                if server["service"] in (f"{index}-0", f"{index}-1"):
                    fleet.start_server(server)
            fleet.log("both shards are back")
        share = self.seconds / 60.0
        return [(8 * share, dead(0)), (24 * share, dead(1)), (40 * share, back)]

    def freeze(self):
        fleet = self.fleet
        state = {}
        victim = fleet.machines[-1]

        def gateway():
            fleet.kill("gateway-" + victim["name"], signal.SIGSTOP)
            fleet.log("froze gateway " + victim["name"])

        def thaw_gateway():
            fleet.kill("gateway-" + victim["name"], signal.SIGCONT)
            fleet.log("thawed it")

        def primary():
            machine, _ = fleet.find_primary()
            state["name"] = "controller-" + machine["name"]
            fleet.kill(state["name"], signal.SIGSTOP)
            fleet.log("froze " + state["name"])

        def thaw_primary():
            fleet.kill(state["name"], signal.SIGCONT)
            fleet.log("thawed it")
        return [(5, gateway), (13, thaw_gateway), (17, primary), (25, thaw_primary)] + self.patches(4)

    def herd(self):
        fleet = self.fleet
        gateways = [m for m in fleet.machines if not m["disk"]][:4]
        primaries = []

        def act():
            for machine in gateways:
                fleet.kill("gateway-" + machine["name"])
            active, _ = fleet.find_primary()
            primaries.append(active)
            fleet.kill("controller-" + active["name"])
            fleet.log("killed " + ", ".join(m["name"] for m in gateways) + " and the primary on " + active["name"])

        def back():
            for machine in gateways:
                fleet.start_gateway(machine)
            for machine in primaries:
                fleet.start_controller(machine)
            fleet.log("they are back")
        return [(6, act), (18, back)] + self.patches(5)

    def rolling(self):
        fleet = self.fleet

        def restart(machine):
            def act():
                fleet.kill("gateway-" + machine["name"], signal.SIGTERM)
                fleet.start_gateway(machine)
                if machine["disk"]:
                    fleet.kill("controller-" + machine["name"], signal.SIGTERM)
                    fleet.start_controller(machine)
                fleet.log("restarted " + machine["name"])
            return act
        step = (self.seconds - 8) / len(fleet.machines)
        return [(3 + step * number, restart(machine)) for number, machine in enumerate(fleet.machines)]

    def operators(self):
        fleet = self.fleet

        def race(number):
            def act():
                import threading
                version, document = fleet.current_version()
                name = next(iter(document["routes"]))
                outcomes = []
                threads = [threading.Thread(target=lambda value=value: outcomes.append(fleet.change(
                    "PATCH", {"routes": {name: {"deadline_ms": 1000 + value}}}, base=version)[0])) for value in (number, number + 500)]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                if sorted(outcomes) != [200, 409]:
                    fleet.log(f"ODD outcomes {outcomes}")
                fleet.change("PATCH", {"searches": {"never": {"tenant": "x"}}}, base=fleet.current_version()[0])
            return act
        return [(second, race(second)) for second in range(3, int(self.seconds) - 4, 4)]

    def burst(self):
        fleet = self.fleet

        def act():
            for number in range(40):
                version, document = fleet.current_version()
                name = next(iter(document["routes"]))
                fleet.change("PATCH", {"routes": {name: {"deadline_ms": 1600 + number}}}, base=version)
        return [(5, act)]

    def recut(self):
        fleet = self.fleet
        index = fleet.shape["indexes"][0]

        def act(cut):
            def begin():
                rows = []
                for shard in range(index["shards"]):
                    for number in range(index["servers"]):
                        server = {"name": f"{index['name']}-{shard}.{cut}-s{number}", "service": f"{index['name']}-{shard}.{cut}",
                                  "mode": "search", "cut": cut, "zone": fleet.shape["zones"][number % len(fleet.shape["zones"])],
                                  "capacity": index["capacity"], "seed": 500 + len(fleet.servers),
                                  "address": f"127.{fleet.net}.{140 + int(cut[1:]) * 8 + shard}.{number + 1}:7100"}
                        fleet.servers.append(server)
                        fleet.start_server(server)
                        rows.append(server)
                time.sleep(0.5)
                for server in rows:
                    http_call(fleet.platform, "PATCH", "/server", json.dumps(fleet.row(server)))
                version, _ = fleet.current_version()
                services = {f"{index['name']}-{shard}.{cut}": {"capacity": index["capacity"]} for shard in range(index["shards"])}
                version = fleet.change("PATCH", {"services": services}, base=version)[1]["version"]
                time.sleep(4)
                shards = [{"service": name, "cut": cut} for name in services]
                fleet.change("PATCH", {"searches": {index["name"]: {"shards": shards}}}, base=version)
                fleet.log(f"{index['name']} is recut to {cut}")
            return begin
        return [(4, act("c2")), (self.seconds / 2 + 2, act("c3"))]

    def move(self):
        fleet = self.fleet
        old = [m for m in fleet.machines if m["disk"]]
        new = [m for m in fleet.machines if not m["disk"]][:len(old)]

        def begin():
            for machine in new:
                machine["disk"] = True
                fleet.start_controller(machine)
            fleet.log("new controllers on " + ", ".join(m["name"] for m in new))

        def leave(machine):
            def act():
                fleet.kill("controller-" + machine["name"], signal.SIGTERM)
                machine["disk"] = False
                fleet.log("the controller on " + machine["name"] + " is gone")
            return act

        def report_primary():
            machine, view = fleet.find_primary()
            fleet.log(f"primary on {machine and machine['name']}, epoch {view and view['epoch']}, witnesses "
                      + str(view and [w["id"].split("/")[0] for w in view["witnesses"]]))
        step = (self.seconds - 12) / len(old)
        return ([(3, begin)] + [(8 + step * n, leave(machine)) for n, machine in enumerate(old)] + [(self.seconds - 2, report_primary)]
                + self.patches(6))

    def cuts(self):
        fleet = self.fleet
        everyone = fleet.peer_addresses(fleet.machines, "gateway") + fleet.peer_addresses(fleet.machines, "controller")

        def links_around(side):
            rest = [a for a in everyone if a not in side]
            return [[a, b] for a in side for b in rest] + [[b, a] for a in side for b in rest]

        def heal():
            fleet.block_links([], "all cuts are mended")

        def gateway():
            fleet.block_links(links_around(fleet.peer_addresses(fleet.machines[-1:], "gateway")), "gateway " + fleet.machines[-1]["name"] + " is isolated")

        def primary():
            machine, _ = fleet.find_primary()
            fleet.block_links(links_around([machine["host"] + ":8001"]), "the primary on " + machine["name"] + " is isolated")

        def control():
            fleet.block_links(links_around(fleet.peer_addresses(fleet.machines, "controller")), "the control group is cut off from all nodes")

        def block_incoming():
            victim = fleet.machines[-2]["host"] + ":8000"
            fleet.block_links([[a, victim] for a in everyone if a != victim], fleet.machines[-2]["name"] + " hears nobody, and is heard")

        def five():
            fleet.block_links(links_around(fleet.peer_addresses(fleet.machines[-5:], "gateway")), "five gateways are cut off together")
        out = []
        for second, act in ((4, gateway), (16, primary), (28, control), (40, block_incoming), (50, five)):
            out += [(second, act), (second + 7, heal)]
        return out + self.patches(5)

    def cells(self):
        fleet = self.fleet
        owners = [m for m in fleet.machines if not m["disk"]][:4]

        def own(names):
            def act():
                version, _ = fleet.current_version()
                cell = {"tenants": [fleet.shape["tenant"]], "nodes": names} if names else None
                fleet.change("PATCH", {"cells": {"north": cell}}, base=version)
            return act

        def lose():
            fleet.kill("gateway-" + owners[0]["name"])
            fleet.log("killed the owner " + owners[0]["name"])

        def back():
            fleet.start_gateway(owners[0])
            fleet.log("restarted it")
        names = [m["name"] for m in owners]
        return [(4, own(names)), (9, lose), (15, back), (self.seconds - 6, own(None))]

    def overload(self):
        fleet = self.fleet
        index, forward = fleet.shape["indexes"][0], fleet.shape["forwards"][0]

        def prepare():
            self._set_behavior([s for s in fleet.servers if s["mode"] == "search"], capacity=60, serial=1)
            version, document = fleet.current_version()
            fleet.change("PATCH", {"searches": {"flood": dict(document["searches"][index["name"]], tenant="flood")},
                                   "routes": {"flood": dict(document["routes"][forward["name"]], tenant="flood")}}, base=version)

        def flood():
            plan = fleet.plan()
            plan["errands"] = [dict(e, tenant="flood") for e in plan["errands"] if e["name"] in (index["name"], forward["name"])]
            path = os.path.join(fleet.folder, "plan-flood.json")
            with open(path, "w") as file:
                json.dump(plan, file)
            out = open(os.path.join(fleet.folder, "flood.out"), "w")
            fleet.procs["flood"] = subprocess.Popen(
                [fleet.build + "/test_support/load_generator", "--plan", path, "--rate", "700", "--seconds", str(self.seconds - 18),
                 "--seed", str(fleet.seed + 1), "--impatience", "1", "--log", os.path.join(fleet.folder, "answers-flood.tsv")],
                stdout=out, stderr=out)
            fleet.log("another tenant sends 700 requests a second and asks again at once when refused")
        return [(3, prepare), (6, flood)]

    def zones(self):
        fleet = self.fleet
        step = (self.seconds - 6) / len(fleet.shape["zones"])

        def members_of(zone):
            return [m for m in fleet.machines if m["zone"] == zone], [s for s in fleet.servers if s["zone"] == zone]

        def lose(zone):
            def act():
                machines, servers = members_of(zone)
                for machine in machines:
                    fleet.kill_machine(machine)
                for server in servers:
                    fleet.kill(server["name"])
                fleet.log(f"zone {zone} is lost: {len(machines)} machines, {len(servers)} servers")
            return act

        def back(zone):
            def act():
                machines, servers = members_of(zone)
                for server in servers:
                    fleet.start_server(server)
                for machine in [m for m in machines if m["name"] + "!" not in fleet.upgraded]:
                    if machine["disk"]:
                        shutil.rmtree(os.path.join(fleet.folder, "data-" + machine["name"]), ignore_errors=True)
                        fleet.upgraded.add(machine["name"] + "!")
                        machine = fleet.new_machine(machine, True)
                    fleet.start_machine(machine)
                fleet.log(f"zone {zone} is back, its disk machine empty at a new address")
            return act
        out = []
        for number, zone in enumerate(fleet.shape["zones"]):
            out += [(2 + number * step, lose(zone)), (2 + number * step + step * 0.55, back(zone))]
        return out + self.patches(3)

    def herd7(self, how=signal.SIGKILL):
        fleet = self.fleet
        victims = fleet.random.sample(fleet.machines, len(fleet.machines) * 2 // 3)

        def act():
            for machine in victims:
                process = fleet.procs["gateway-" + machine["name"]]
                process.send_signal(how)
            fleet.log(f"{how.name} to {len(victims)} gateways of {len(fleet.machines)}")

        def back():
            for machine in victims:
                fleet.kill("gateway-" + machine["name"])
                fleet.start_gateway(fleet.new_machine(dict(machine), False))
            fleet.log("as many new ones start at new names and addresses")
        return [(5, act), (self.seconds / 2, back)] + self.patches(3)

    def herd7warned(self):
        return self.herd7(signal.SIGTERM)

    def firststart(self):
        fleet = self.fleet

        def start_missing_seed():
            fleet.start_machine(fleet.missing)
            fleet.log("the missing seed " + fleet.missing["name"] + " starts")
        return [(8, start_missing_seed)] + self.patches(4)

    def upgrade(self):
        fleet = self.fleet

        def restart(machine):
            def act():
                fleet.upgraded.add(machine["name"])
                fleet.kill_machine(machine, signal.SIGTERM)
                fleet.start_machine(machine)
                fleet.log("upgraded " + machine["name"])
            return act
        step = (self.seconds - 10) / len(fleet.machines)
        return [(3 + step * number, restart(machine)) for number, machine in enumerate(fleet.machines)] + self.patches(5)

    def darkrolling(self):
        fleet = self.fleet

        def end():
            for machine in fleet.machines:
                fleet.kill("controller-" + machine["name"])
            fleet.log("killed every controller")

        def restart(machine):
            def act():
                fleet.kill("gateway-" + machine["name"], signal.SIGTERM)
                fleet.start_gateway(machine)
                began = time.monotonic()
                good = fleet.await_ready(len(fleet.machines), 8)
                fleet.log(f"restarted {machine['name']}, {'all ready' if good else 'NOT ready'} after {time.monotonic() - began:.1f} s")
            return act

        def back():
            for machine in fleet.machines:
                if machine["disk"]:
                    fleet.start_controller(machine)
            fleet.log("the controllers are back")
        return ([(4, end)] + [(8 + 2 * n, restart(m)) for n, m in enumerate(fleet.machines)] + [(self.seconds - 8, back)]
                + [(self.seconds - 3, self.patches()[0][1])])

    def salvage(self):
        fleet = self.fleet
        old_disks = {}

        def lose():
            machine, view = fleet.find_primary()
            names = {w["id"].split("/")[0] for w in view["witnesses"]}
            for old in [m for m in fleet.machines if "h-" + m["name"] in names]:
                fleet.kill("controller-" + old["name"])
                path = os.path.join(fleet.folder, "data-" + old["name"])
                os.rename(path, path + ".old")
                new = fleet.new_machine(old, True)
                old_disks[new["name"]] = path + ".old"
                fleet.start_controller(new)
            fleet.log("all witnesses are lost, empty controllers start at new addresses")

        def force_new_group():
            self.patches()[0][1]()
            nodes = ",".join(m["host"] + ":7000" for m in fleet.gateways())
            chosen = next(m for m in fleet.machines if m["name"] in old_disks)
            fleet.limerampctl("--nodes", nodes, "force-new-group", chosen["host"] + ":7001")
            fleet.limerampctl("--nodes", nodes, "--yes", "force-new-group", chosen["host"] + ":7001")

        def return_old_disk():
            for name, path in old_disks.items():
                machine = next(m for m in fleet.machines if m["name"] == name)
                fleet.kill("controller-" + name)
                returned = fleet.new_machine(machine, True)
                os.rename(path, os.path.join(fleet.folder, "data-" + returned["name"]))
                fleet.start_controller(returned)
                break
            fleet.log("one of the old disks returns")
        return [(5, lose), (12, force_new_group), (22, return_old_disk)] + [(second, self.patches()[0][1]) for second in (3, 17, 26, 30)]

    def disks(self):
        fleet = self.fleet
        state = {}

        def inject(role, **faults):
            def act():
                machine, view = fleet.find_primary()
                if role == "primary":
                    name = "controller-" + machine["name"]
                else:
                    name = "controller-" + view["backups"][0].split("/")[0][2:]
                state["name"] = name
                fleet.set_faults(name, **faults)
                fleet.log(f"the disk of {name}, {role}: {faults}")
            return act

        def heal():
            fleet.set_faults(state["name"])
            fleet.kill(state["name"])
            fleet.start_controller(next(m for m in fleet.machines if state["name"].endswith(m["name"])))
            fleet.log("healed and restarted " + state["name"])

        def fullstart():
            new = fleet.new_machine(dict(fleet.machines[-1]), True)
            fleet.set_faults("controller-" + new["name"], full=1)
            fleet.start_controller(new)
            code = fleet.procs["controller-" + new["name"]].wait(10)
            fleet.log(f"a first start on a full disk ends with {code}" + ("" if code == 1 else " ODD"))
            fleet.machines.remove(new)
        out = []
        for number, (role, faults) in enumerate([("backup", {"sync_ms": 300}), ("primary", {"sync_ms": 300}), ("primary", {"stuck": 1}),
                                                 ("backup", {"stuck": 1}), ("primary", {"failing": 1}), ("backup", {"full": 1})]):
            out += [(3 + number * 8, inject(role, **faults)), (3 + number * 8 + 5, heal)]
        return out + [(51, fullstart)] + self.patches(3)

    def clocks(self):
        fleet = self.fleet

        def jump():
            for name in list(fleet.procs):
                if name.split("-")[0] in ("gateway", "controller") and fleet.random.random() < 0.6:
                    fleet.set_faults(name, clock_ms=fleet.random.choice([-7_200_000, -60_000, 5_000, 60_000, 86_400_000]))
            fleet.log("wall clocks jump on most nodes")
        return [(second, jump) for second in range(3, int(self.seconds) - 2, 3)] + self.patches(4)

    def soak(self):
        soak = Soak(self.fleet)
        return [(1, soak.start), (self.seconds - 15, soak.stop)]

    def mix(self):
        fleet, random_source = self.fleet, random.Random(self.fleet.seed)
        active_faults = []

        def pick(names):
            live = [n for n in names if fleet.procs.get(n) and fleet.procs[n].poll() is None]
            return random_source.choice(live) if live else None

        def gateway_names():
            return ["gateway-" + m["name"] for m in fleet.machines]

        def controller_names():
            return ["controller-" + m["name"] for m in fleet.machines if m["disk"]]

        def restart(name):
            machine = next((m for m in fleet.machines if name.endswith("-" + m["name"])), None)
            if machine is None:
                fleet.start_server(next(s for s in fleet.servers if s["name"] == name))
            elif name.startswith("gateway"):
                fleet.start_gateway(machine)
            elif machine["disk"]:
                fleet.start_controller(machine)

        def inject(kind):
            def act():
                if kind == "zone":
                    zone = random_source.choice(fleet.shape["zones"])
                    names = [n for m in fleet.machines if m["zone"] == zone for n in ("gateway-" + m["name"], "controller-" + m["name"])]
                    names += [s["name"] for s in fleet.servers if s["zone"] == zone]
                elif kind == "herd":
                    names = random_source.sample(gateway_names(), len(fleet.machines) * 2 // 3)
                elif kind == "total":
                    names = gateway_names() + controller_names()
                elif kind in ("primary", "freezeprimary"):
                    machine, _ = fleet.find_primary()
                    names = ["controller-" + machine["name"]] if machine else []
                elif kind in ("server", "freezeserver"):
                    names = [s["name"] for s in random_source.sample(fleet.servers, 3)]
                elif kind in ("disk", "clock"):
                    names = controller_names() if kind == "disk" else gateway_names() + controller_names()
                    names = random_source.sample(names, 1 if kind == "disk" else len(names) // 2)
                else:
                    names = [n for n in [pick(gateway_names() + controller_names())] if n]
                names = [n for n in names if n in fleet.procs and fleet.procs[n].poll() is None]
                how = signal.SIGSTOP if kind.startswith("freeze") else signal.SIGTERM if kind == "warned" else signal.SIGKILL
                for name in names:
                    if kind == "disk":
                        fleet.set_faults(name, sync_ms=random_source.choice([200, 400]))
                    elif kind == "clock":
                        fleet.set_faults(name, clock_ms=random_source.choice([-3_600_000, 3_600_000, 5_000]))
                    elif how == signal.SIGKILL:
                        fleet.procs[name].kill()
                    else:
                        fleet.kill(name, how)
                active_faults[:] = [(kind, names)]
                fleet.log(f"{kind}: {', '.join(names)[:150]}")
            return act

        def heal():
            for kind, names in active_faults:
                for name in names:
                    if kind in ("disk", "clock"):
                        fleet.set_faults(name)
                    elif kind.startswith("freeze"):
                        fleet.kill(name, signal.SIGCONT)
                    else:
                        fleet.procs[name].wait()
                        restart(name)
                if kind == "total":
                    began = time.monotonic()
                    good = fleet.await_ready(len(fleet.machines), 30)
                    fleet.restored.append(time.monotonic() - began if good else None)
                fleet.log(f"{kind} is over")
            active_faults.clear()

        kinds = ["server", "gateway", "primary", "freezegateway", "freezeprimary", "freezeserver", "disk", "clock", "warned", "zone", "herd"]
        out, second, turn = [], 6.0, 0
        while second < self.seconds - 20:
            kind = "total" if turn % 16 == 15 else random_source.choice(kinds)
            out += [(second, inject(kind)), (second + 5, heal)]
            second += 12
            turn += 1
        return out + self.patches(11)

    def total(self, lose=None):
        fleet = self.fleet

        def end_all():
            for machine in fleet.machines:
                fleet.kill("gateway-" + machine["name"])
                if machine["disk"]:
                    fleet.kill("controller-" + machine["name"])
            fleet.log("killed every node")

        def all_back():
            order = fleet.machines[:]
            fleet.random.shuffle(order)
            if lose is not None:
                shutil.rmtree(os.path.join(fleet.folder, "data-" + fleet.machines[lose]["name"]))
                fleet.log("the disk of " + fleet.machines[lose]["name"] + " is lost")
            for machine in order:
                if machine["disk"]:
                    fleet.start_controller(machine)
                fleet.start_gateway(machine)
            began = time.monotonic()
            fleet.log("all machines are back")
            good = fleet.await_ready(len(fleet.machines), 30)
            fleet.restored.append(time.monotonic() - began if good else None)
            fleet.log(f"ready again: {fleet.restored[-1]}")

        return [(5, lambda: self.patches()[0][1]()), (10, end_all), (13, all_back)]

    def totalprimary(self):
        return self.total(0)

    def totalbackup(self):
        return self.total(1)
