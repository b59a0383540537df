"""HTTP calls to the processes of a fleet and helpers shared by the fleet, the drills and the audit."""

import http.client


def http_call(address, method, target, body=None, headers=None, timeout=15):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict((k.lower(), v) for k, v in answer.getheaders()), answer.read().decode()
    finally:
        connection.close()

def version_key(text):
    return tuple(int(part) for part in text.split("."))


def read_tsv(path):
    with open(path, errors="replace") as file:
        for line in file:
            if line.endswith("\n"):
                yield line.rstrip("\n").split("\t")

def merge_patch(target, patch):
    if not isinstance(patch, dict):
        return patch
    out = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            out.pop(key, None)
        else:
            out[key] = merge_patch(out.get(key), value)
    return out
