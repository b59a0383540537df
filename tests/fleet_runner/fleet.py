"""Runs a fleet on loopback: starts, stops, freezes and kills its processes and sends operator calls to them."""

import collections
import http.client
import json
import os
import random
import signal
import subprocess
import time

from fleet_runner.calls import http_call


class Fleet:
    def __init__(self, shape, build, folder, seed):
        self.shape = shape
        self.build = build
        self.folder = folder
        self.random = random.Random(seed)
        self.seed = seed
        self.net = shape["net"]
        self.procs = {}
        self.logs = {}
        self.machines = []
        self.servers = []
        self.platform = f"127.{self.net}.250.1:7900"
        self.acks = []
        self.refusals = []
        self.unknowns = []
        self.allowed = set()
        self.departures = []
        self.emptied_zones = []
        self.fresh_servers = []
        self.notes = []
        self.restored = []
        self.complaints = []
        self.cuts_of_version = {}
        self.rerun = True
        self.began = time.monotonic()
        os.makedirs(folder, exist_ok=True)
        for number in range(shape["machines"]):
            zone = shape["zones"][number % len(shape["zones"])]
            host = f"127.{self.net}.{number % len(shape['zones']) + 1}.{number + 1}"
            self.machines.append({"name": f"m{number + 1:02d}", "zone": zone, "host": host, "disk": number < shape["disks"]})
        self.proxy = None
        self.old_build = None
        self.upgraded = set()
        self.fault_preload = False
        self.missing = None
        self.samples = collections.defaultdict(list)
        self.seeds = [m["host"] + ":7001" for m in self.machines[:3]]

    def log(self, text):
        line = f"[{time.monotonic() - self.began:7.2f}] {text}"
        self.notes.append(line)
        print(line, flush=True)

    def spawn(self, name, args, fault_preload=False):
        log = open(os.path.join(self.folder, name + ".err"), "ab")
        env = dict(os.environ)
        if fault_preload:
            env.update(LD_PRELOAD=os.path.join(self.build, "test_support", "libfault_injection_preload.so"), FAULT_INJECTION=os.path.join(self.folder, "faults-" + name))
        self.procs[name] = subprocess.Popen(args, stdout=log, stderr=log, stdin=subprocess.DEVNULL, env=env)
        log.close()

    def set_faults(self, name, **faults):
        """Replaces the faults that the preload library injects into a process; without arguments there are none."""
        path = os.path.join(self.folder, "faults-" + name)
        with open(path + ".new", "w") as file:
            file.writelines(f"{key} {value}\n" for key, value in faults.items())
        os.replace(path + ".new", path)

    def sample(self):
        for name, process in self.procs.items():
            if process.poll() is None and name.split("-")[0] in ("gateway", "controller"):
                try:
                    with open(f"/proc/{process.pid}/status") as file:
                        resident = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
                    count = len(os.listdir(f"/proc/{process.pid}/fd"))
                except (OSError, StopIteration):
                    continue
                self.samples[(name, process.pid)].append((time.monotonic() - self.began, resident, count))

    def kill(self, name, how=signal.SIGKILL):
        process = self.procs.get(name)
        if process is not None and process.poll() is None:
            process.send_signal(how)
            if how in (signal.SIGKILL, signal.SIGTERM):
                process.wait()

    def start_fault_proxy(self):
        self.proxy = f"127.{self.net}.250.2:7800"
        path = os.path.join(self.folder, "wall.json")
        with open(path, "w") as file:
            json.dump({f"{m['host']}:{8000 + n}": f"{m['host']}:{7000 + n}" for m in self.machines for n in (0, 1)}, file)
        self.seeds = [m["host"] + ":8001" for m in self.machines[:3]]
        self.spawn("fault_proxy", [self.build + "/test_support/fault_proxy", "--listen", self.proxy, "--map", path])

    def block_links(self, pairs, text):
        http_call(self.proxy, "PUT", "/", json.dumps(pairs))
        self.log(text)

    def peer_addresses(self, machines, program):
        return [m["host"] + (":8000" if program == "gateway" else ":8001") for m in machines if program == "gateway" or m["disk"]]

    def start_node(self, program, machine, **settings):
        if self.proxy:
            host, port = settings["listen"].split(":")
            settings["advertise"] = f"{host}:{int(port) + 1000}"
        name = program + "-" + machine["name"]
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(dict(settings, zone=machine["zone"], seeds=self.seeds), file, indent=1)
        build = self.old_build if self.old_build and machine["name"] not in self.upgraded else self.build
        self.spawn(name, [build + "/programs/limeramp-" + program, "--settings", path], self.fault_preload)

    def start_gateway(self, machine):
        self.start_node("gateway", machine, node=machine["name"], listen=machine["host"] + ":7000", platform=self.platform,
                        rerun=self.rerun)

    def start_controller(self, machine):
        self.start_node("controller", machine, node="h-" + machine["name"], listen=machine["host"] + ":7001",
                        data=os.path.join(self.folder, "data-" + machine["name"]))

    def start_server(self, server):
        name = server["name"]
        self.spawn(name, [
            self.build + "/test_support/stub_server", "--listen", server["address"], "--service", server["service"], "--mode",
            server["mode"], "--cut", server["cut"], "--capacity", str(server["capacity"]), "--seed", str(server["seed"]),
            "--log", os.path.join(self.folder, "arrivals-" + name + ".tsv")])

    def make_servers(self):
        zones = self.shape["zones"]
        for index in self.shape["indexes"]:
            for shard in range(index["shards"]):
                for number in range(index["servers"]):
                    service = f"{index['name']}-{shard}"
                    self.servers.append({"name": f"{service}-s{number}", "service": service, "mode": "search", "cut": "c1",
                                         "zone": zones[number % len(zones)], "capacity": index["capacity"],
                                         "address": f"127.{self.net}.{100 + shard}.{number + 1}:7100", "seed": len(self.servers)})
        for place, forward in enumerate(self.shape["forwards"] + [{"name": "decoy", "servers": 1, "capacity": 50}]):
            for number in range(forward["servers"]):
                self.servers.append({"name": f"{forward['name']}-s{number}", "service": forward["name"], "mode": "forward",
                                     "cut": "-", "zone": zones[number % len(zones)], "capacity": forward["capacity"],
                                     "address": f"127.{self.net}.{120 + place}.{number + 1}:7100", "seed": len(self.servers)})

    def row(self, server, **more):
        return dict(address=server["address"], service=server["service"], zone=server["zone"],
                    capacity=server["capacity"], slow_start_ms=3000, **more)

    def configuration(self):
        services, searches, routes = {}, {}, {}
        tenant = self.shape["tenant"]
        for index in self.shape["indexes"]:
            shards = []
            for shard in range(index["shards"]):
                services[f"{index['name']}-{shard}"] = {"capacity": index["capacity"]}
                shards.append({"service": f"{index['name']}-{shard}", "cut": "c1"})
            searches[index["name"]] = dict(tenant=tenant, prefix="/" + index["name"], shards=shards,
                                           result_size=index["result_size"], minimum_shards=index["minimum_shards"],
                                           max_attempts=index["max_attempts"], deadline_ms=index["deadline_ms"])
        for forward in self.shape["forwards"]:
            services[forward["name"]] = {"capacity": forward["capacity"]}
            routes[forward["name"]] = dict(tenant=tenant, prefix="/" + forward["name"], service=forward["name"],
                                           max_attempts=forward["max_attempts"])
        return dict(services=services, searches=searches, routes=routes)

    def plan(self):
        errands = []
        for index in self.shape["indexes"]:
            errands.append(dict(name=index["name"], tenant=self.shape["tenant"], path="/" + index["name"], search=True,
                                result_size=index["result_size"], shards=index["shards"], minimum=index["minimum_shards"],
                                share=index["share"], least_ms=index["least_ms"], most_ms=index["most_ms"]))
        for forward in self.shape["forwards"]:
            errands.append(dict(name=forward["name"], tenant=self.shape["tenant"], path="/" + forward["name"],
                                method=forward["method"], share=forward["share"], least_ms=forward["least_ms"],
                                most_ms=forward["most_ms"], body_bytes=forward.get("body_bytes", 0)))
        return dict(gates=[m["host"] + ":7000" for m in self.machines], errands=errands)

    def start(self, with_proxy):
        self.make_servers()
        path = os.path.join(self.folder, "list.json")
        with open(path, "w") as file:
            json.dump({"servers": [self.row(s) for s in self.servers]}, file)
        self.spawn("stub_instance_list", [self.build + "/test_support/stub_instance_list", "--listen", self.platform, "--list", path])
        for server in self.servers:
            self.start_server(server)
        if with_proxy:
            self.start_fault_proxy()
        for machine in self.machines:
            if machine is not self.missing:
                self.start_machine(machine)

    def start_machine(self, machine):
        if machine["disk"]:
            self.start_controller(machine)
        self.start_gateway(machine)

    def kill_machine(self, machine, how=signal.SIGKILL):
        for program in ("gateway", "controller"):
            self.kill(f"{program}-{machine['name']}", how)

    def new_machine(self, old, disk):
        number = len(self.machines) + 1
        new = {"name": f"m{number:02d}", "zone": old["zone"], "host": f"127.{self.net}.50.{number}", "disk": disk}
        old["disk"] = False
        self.machines.append(new)
        self.seeds = [seed.replace(old["host"] + ":", new["host"] + ":") for seed in self.seeds]
        return new

    def limerampctl(self, *words):
        done = subprocess.run([self.build + "/programs/limerampctl", *words], capture_output=True, text=True, timeout=30, stdin=subprocess.DEVNULL)
        self.log(f"limerampctl {words[-2] if len(words) > 1 else words[0]}: exit {done.returncode} {done.stdout.strip()[:200]}")
        return done.returncode

    def gateways(self):
        return [m for m in self.machines if self.procs.get("gateway-" + m["name"]) and self.procs["gateway-" + m["name"]].poll() is None]

    def change(self, method, body, base=None, change=None, through=None, deadline_ms=10000):
        target = through or self.random.choice(self.gateways())["host"] + ":7000"
        headers = {"limeramp-deadline-ms": str(deadline_ms)}
        if base:
            headers["limeramp-base"] = base
        if change:
            headers["limeramp-change"] = change
        asked = time.monotonic()
        try:
            status, _, text = http_call(target, method, "/limeramp/configuration", json.dumps(body), headers)
            answer = json.loads(text)
        except (OSError, ValueError, http.client.HTTPException) as failure:
            status, answer = 0, {"outcome": "unknown", "reason": str(failure)}
        now = time.monotonic()
        if status == 200:
            self.acks.append((now, answer["version"], body, method))
            for service in body.get("services", {}):
                self.allowed.add(service)
        elif answer["outcome"] in ("refused", "conflict"):
            self.refusals.append((now, body))
        else:
            self.unknowns.append((now, body, answer.get("change")))
            for service in body.get("services", {}):
                self.allowed.add(service)
        self.log(f"{method} through {target}: {status} {answer.get('outcome')} {answer.get('version', '')} "
                 f"{answer.get('reason', '')} after {now - asked:.2f} s")
        return status, answer

    def current_version(self):
        for machine in self.random.sample(self.gateways(), len(self.gateways())):
            try:
                status, headers, text = http_call(machine["host"] + ":7000", "GET", "/limeramp/configuration", timeout=3)
                if status == 200:
                    return headers["limeramp-version"], json.loads(text)
            except (OSError, http.client.HTTPException):
                pass
        return None, None

    def await_ready(self, wanted, within):
        deadline = time.monotonic() + within
        count = 0
        while time.monotonic() < deadline:
            count = 0
            for machine in self.gateways():
                try:
                    count += http_call(machine["host"] + ":7000", "GET", "/limeramp/ready", timeout=1)[0] == 200
                except (OSError, http.client.HTTPException):
                    pass
            if count >= wanted:
                return True
            time.sleep(0.1)
        self.log(f"only {count} of {wanted} nodes became ready")
        return False

    def find_primary(self):
        """The machine of the active primary and its status, or (None, None)."""
        for machine in self.machines:
            if not machine["disk"]:
                continue
            try:
                status, _, text = http_call(machine["host"] + ":7001", "GET", "/limeramp/status", timeout=1)
                view = json.loads(text)
                if status == 200 and view["active"]:
                    return machine, view
            except (OSError, ValueError, http.client.HTTPException):
                pass
        return None, None

    def stop(self):
        for process in self.procs.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 10
        for name, process in self.procs.items():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.log(f"{name} did not end and is killed")
                process.kill()
