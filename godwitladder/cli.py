"""The command line.

Exit codes: 0 done, 1 refused or rejected, 2 wrong usage or invalid input,
3 the other end could not be reached.
"""

import json
import os
import sys
import threading
from pathlib import Path

import defopt
import urllib3

import godwitladder
from godwitladder.configuration.tickets import read_ticket
from godwitladder.daemon import run_entry_host
from godwitladder.findings import InvalidInput
from godwitladder.logs import configure_logs
from godwitladder.settings import read_settings
from godwitladder.standins.engine import start_engine
from godwitladder.standins.platform import start_platform
from godwitladder.standins.service import start_service

REFUSED = 1
INVALID = 2
UNREACHABLE = 3
TOKEN_VARIABLE = "GODWITLADDER_TOKEN"
REQUEST_TIMEOUT_S = 10.0


def serve(*, settings: Path) -> None:
    """Run one entry host until SIGTERM, then finish what is in flight.

    Parameters
    ----------
    settings : Path
        TOML file with the host's settings.
    """
    configure_logs()
    run_entry_host(read_settings(settings))


def check_settings(*, settings: Path) -> None:
    """Check a settings file and print every finding.

    Parameters
    ----------
    settings : Path
        TOML file with a host's settings.
    """
    read_settings(settings)
    print(f"{settings}: sound")


def check_ticket(ticket: Path) -> None:
    """Check a ticket by itself, without asking a host.

    Parameters
    ----------
    ticket : Path
        TOML file with the ticket.
    """
    read = read_ticket(ticket.read_bytes(), str(ticket))
    print(f"{ticket}: ticket {read.number} is sound, {len(read.writes)} objects")


def submit_ticket(ticket: Path, *, host: str) -> None:
    """Submit a ticket through an entry host.

    The operator's token is read from GODWITLADDER_TOKEN.

    Parameters
    ----------
    ticket : Path
        TOML file with the ticket.
    host : str
        Operators' address of any entry host, as address:port.
    """
    data = ticket.read_bytes()
    read_ticket(data, str(ticket))
    print(json.dumps(ask_host(host, "POST", "/v1/tickets", data)))


def show_audit(*, host: str) -> None:
    """Print the audit trail, a JSON object a line.

    Parameters
    ----------
    host : str
        Operators' address of any entry host, as address:port.
    """
    for row in ask_host(host, "GET", "/v1/audit")["audit"]:
        print(json.dumps(row))


def show_quarantine(*, host: str) -> None:
    """Print the quarantined requests, a JSON object a line.

    Parameters
    ----------
    host : str
        Operators' address of any entry host, as address:port.
    """
    for row in ask_host(host, "GET", "/v1/quarantine")["quarantined"]:
        print(json.dumps(row))


def lift_quarantine(digest: str, *, operator: str, host: str) -> None:
    """Let a quarantined request run again, on every host.

    Parameters
    ----------
    digest : str
        Digest of the request, as its refusal and the list tell it.
    operator : str
        Who lifts it, for the logs.
    host : str
        Operators' address of any entry host, as address:port.
    """
    body = json.dumps({"digest": digest, "operator": operator}).encode()
    print(json.dumps(ask_host(host, "POST", "/v1/quarantine/lift", body)))


def show_status(*, host: str) -> None:
    """Print what an entry host says of itself, in JSON.

    Parameters
    ----------
    host : str
        Operators' address of the entry host, as address:port.
    """
    print(json.dumps(ask_host(host, "GET", "/v1/status"), indent=2))


def standin_platform(*, listen: str = "127.0.0.1:0") -> None:
    """Run a stand-in of the platform.

    Parameters
    ----------
    listen : str
        Where to listen, as address:port.
    """
    run_standin(start_platform(listen))


def standin_engine(*, listen: str = "127.0.0.1:0") -> None:
    """Run a stand-in of a language engine.

    Parameters
    ----------
    listen : str
        Where to listen, as address:port.
    """
    run_standin(start_engine(listen))


def standin_service(*, listen: str = "127.0.0.1:0") -> None:
    """Run a stand-in of a plain service.

    Parameters
    ----------
    listen : str
        Where to listen, as address:port.
    """
    run_standin(start_service(listen))


def run_standin(server) -> None:
    """Print where the stand-in listens and run until interrupted."""
    print(server.address, flush=True)
    threading.Event().wait()


def ask_host(host: str, method: str, path: str, body: bytes | None = None) -> dict:
    """Return a host's JSON answer, or end the program with an exit code."""
    token = os.environ.get(TOKEN_VARIABLE, "")
    try:
        answer = urllib3.request(
            method,
            f"http://{host}{path}",
            body=body,
            headers={"Authorization": f"Bearer {token}"},
            timeout=REQUEST_TIMEOUT_S,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as error:
        print(f"godwitladder: {host} did not answer: {error}", file=sys.stderr)
        sys.exit(UNREACHABLE)
    value = json.loads(answer.data)
    if answer.status >= 400:
        for row in value.get("findings", []):
            print(f"{row['place']}: {row['text']}", file=sys.stderr)
        print(value.get("detail", "The host refused."), file=sys.stderr)
        sys.exit(REFUSED)
    return value


COMMANDS = {
    "serve": serve,
    "settings": {"check": check_settings},
    "ticket": {"check": check_ticket, "submit": submit_ticket},
    "audit": show_audit,
    "quarantine": {"show": show_quarantine, "lift": lift_quarantine},
    "status": show_status,
    "standin": {
        "platform": standin_platform,
        "engine": standin_engine,
        "service": standin_service,
    },
}


def main() -> None:
    """Run the command line."""
    try:
        defopt.run(COMMANDS, version=godwitladder.__version__)
    except InvalidInput as error:
        print(error, file=sys.stderr)
        sys.exit(INVALID)
