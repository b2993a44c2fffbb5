"""godwitladder: a request scheduler for unlike engines.

Run an entry host with "serve", change its configuration with numbered
tickets ("ticket"), read what became of them ("audit") and how a host is
("status"). Commands that ask a host take the operators' address of any
entry host and read the operator's token from GODWITLADDER_TOKEN. Where hosts
speak TLS, put https:// before the address and the PEM file of the authority
into GODWITLADDER_AUTHORITY.

Exit codes: 0 done; 1 the host refused, or the ticket was rejected; 2 wrong
usage, or settings or a ticket with findings; 3 the host did not answer, or
says that the outcome is open or that it can't do it now.
"""

import json
import sys
import threading
from argparse import RawDescriptionHelpFormatter
from collections.abc import Callable
from pathlib import Path

import defopt

import godwitladder
from godwitladder.account import format_summary, summarize_calls
from godwitladder.client import OperatorClient, OperatorRequestFailed
from godwitladder.configuration.tickets import read_ticket
from godwitladder.daemon import run_entry_host
from godwitladder.explain import find_request_lines
from godwitladder.findings import Finding, Findings, InvalidInput
from godwitladder.logs import configure_logs
from godwitladder.routing.settings import read_routed_settings
from godwitladder.settings import read_settings
from godwitladder.standins import engine, platform, service
from godwitladder.standins.engine import start_engine
from godwitladder.standins.platform import start_platform
from godwitladder.standins.service import start_service

EXIT_INVALID = 2


def serve(*, settings: Path) -> None:
    """Run one entry host until SIGTERM, then finish what is in flight.

    Nothing is started if the settings have findings.

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


def check_routed_settings(*, settings: Path) -> None:
    """Check the settings file of a host that serves routed calls.

    Parameters
    ----------
    settings : Path
        TOML file with a host's settings.
    """
    read_routed_settings(settings)
    print(f"{settings}: sound")


def explain_request(request: str, *logs: Path) -> None:
    """Print what the log lines of hosts say of one request, in order of time.

    Parameters
    ----------
    request : str
        The id that the caller sent.
    logs : Path
        Files with the JSON lines of any number of hosts.
    """
    lines = (
        line
        for path in logs
        for line in read_file(path).decode(errors="replace").splitlines()
    )
    for row in find_request_lines(lines, request):
        print(row)


def account_for(*logs: Path, span: float = 2.0) -> None:
    """Print what became of all calls in the log lines of hosts, and why.

    Parameters
    ----------
    logs : Path
        Files with the JSON lines of any number of hosts.
    span : float
        Seconds for each row of the second table, which goes by time.
    """
    lines = [
        line
        for path in logs
        for line in read_file(path).decode(errors="replace").splitlines()
    ]
    for row in format_summary(summarize_calls(lines, span), span):
        print(row)


def check_ticket(ticket: Path) -> None:
    """Check a ticket by itself, without asking a host.

    Whether its number is high enough and whether what it refers to exists is
    only known when it is submitted.

    Parameters
    ----------
    ticket : Path
        TOML file with the ticket.
    """
    read = read_ticket(read_file(ticket), str(ticket))
    print(f"{ticket}: ticket {read.number} is sound, {len(read.writes)} objects")


def submit_ticket(
    ticket: Path, *, host: str, wait: float = 3.0, json: bool = False
) -> None:
    """Submit a ticket through any entry host and print its verdict.

    Where the outcome is open, submit the same file again: a ticket that was
    taken already changes nothing.

    Parameters
    ----------
    ticket : Path
        TOML file with the ticket.
    host : str
        Operators' address of an entry host, as address:port.
    wait : float
        Longest wait for the verdict, in seconds; the host caps it at 10.
    json : bool
        Print the host's answer as it is.
    """
    data = read_file(ticket)
    read_ticket(data, str(ticket))
    row = OperatorClient(host).submit(data, wait)
    show([row], json, lambda row: f"offset {row['offset']}: {row['verdict']}")


def list_tickets(*, host: str, json: bool = False) -> None:
    """List the tickets that were accepted last.

    Parameters
    ----------
    host : str
        Operators' address of an entry host, as address:port.
    json : bool
        Print a JSON object a line.
    """
    rows = OperatorClient(host).get("/v1/tickets")["tickets"]
    show(
        rows,
        json,
        lambda row: f"{row['number']} by {row['operator']} at offset {row['offset']}",
    )


def show_ticket(number: int, *, host: str) -> None:
    """Print every verdict on a ticket's number, and what of it is in force.

    Parameters
    ----------
    number : int
        The ticket's number.
    host : str
        Operators' address of an entry host, as address:port.
    """
    answer = OperatorClient(host).get(f"/v1/tickets/{number}")
    print(json.dumps(answer, indent=2))


def show_audit(*, host: str, start: int = 0, json: bool = False) -> None:
    """Print the audit trail, oldest first.

    Parameters
    ----------
    host : str
        Operators' address of an entry host, as address:port.
    start : int
        First offset to print.
    json : bool
        Print a JSON object a line.
    """
    rows = OperatorClient(host).get(f"/v1/audit?from={start}")["audit"]
    show(rows, json, audit_line)


def show_status(*, host: str) -> None:
    """Print what an entry host says of itself, in JSON.

    Parameters
    ----------
    host : str
        Operators' address of the entry host, as address:port.
    """
    print(json.dumps(OperatorClient(host).get("/v1/status"), indent=2))


def show_quarantine(*, host: str) -> None:
    """Print the quarantined requests, a JSON object a line.

    Parameters
    ----------
    host : str
        Operators' address of any entry host, as address:port.
    """
    for row in OperatorClient(host).get("/v1/quarantine")["quarantined"]:
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
    print(json.dumps(OperatorClient(host).lift(digest, operator)))


def standin_platform(*, listen: str = "127.0.0.1:0", knobs: list[str] = ()) -> None:
    """Run a stand-in of the platform.

    Parameters
    ----------
    listen : str
        Where to listen, as address:port.
    knobs : list[str]
        Values to start with, each as name=value with the value in JSON.
    """
    run_standin(start_platform(listen, **read_knobs(knobs, platform.KNOBS)))


def standin_engine(*, listen: str = "127.0.0.1:0", knobs: list[str] = ()) -> None:
    """Run a stand-in of a language engine.

    Parameters
    ----------
    listen : str
        Where to listen, as address:port.
    knobs : list[str]
        Values to start with, each as name=value with the value in JSON.
    """
    run_standin(start_engine(listen, **read_knobs(knobs, engine.KNOBS)))


def standin_service(*, listen: str = "127.0.0.1:0", knobs: list[str] = ()) -> None:
    """Run a stand-in of a plain service.

    Parameters
    ----------
    listen : str
        Where to listen, as address:port.
    knobs : list[str]
        Values to start with, each as name=value with the value in JSON.
    """
    run_standin(start_service(listen, **read_knobs(knobs, service.KNOBS)))


def run_standin(server) -> None:
    """Print where the stand-in listens and run until interrupted."""
    print(server.address, flush=True)
    threading.Event().wait()


def read_knobs(texts: list[str], known: dict) -> dict:
    """Return knobs given as ``name=value``."""
    knobs = {}
    findings = Findings()
    for text in texts:
        name, _, value = text.partition("=")
        if name not in known:
            findings.add_unknown(f"--knobs {text}", name, known)
        try:
            knobs[name] = json.loads(value)
        except ValueError:
            findings.add(f"--knobs {text}", "must be name=value in JSON")
    findings.raise_if_any()
    return knobs


def read_file(path: Path) -> bytes:
    """Return a file's bytes, or raise `InvalidInput`."""
    try:
        return path.read_bytes()
    except OSError as error:
        text = f"can't be read: {error.strerror}"
        raise InvalidInput((Finding(str(path), text),)) from error


def audit_line(row: dict) -> str:
    """Return an audit entry as a line for people."""
    head = f"{row['offset']}: ticket {row['number']} by {row['operator'] or 'nobody'}"
    cause = f" ({row['cause']})" if row["cause"] else ""
    findings = "".join(f"\n    {text}" for text in row["findings"])
    return f"{head}: {row['verdict']}{cause}, {row['reason']}{findings}"


def show(rows: list[dict], as_json: bool, line: Callable[[dict], str]) -> None:
    """Print rows, each on a line."""
    for row in rows:
        print(json.dumps(row) if as_json else line(row))


COMMANDS = {
    "serve": serve,
    "settings": {"check": check_settings, "check-routed": check_routed_settings},
    "explain": explain_request,
    "account": account_for,
    "ticket": {
        "check": check_ticket,
        "submit": submit_ticket,
        "list": list_tickets,
        "show": show_ticket,
    },
    "audit": show_audit,
    "quarantine": {"show": show_quarantine, "lift": lift_quarantine},
    "status": show_status,
    "standin": {
        "platform": standin_platform,
        "engine": standin_engine,
        "service": standin_service,
    },
}


def main(argv: list[str] | None = None) -> None:
    """Run the command line."""
    try:
        defopt.run(
            COMMANDS,
            argv=argv,
            version=godwitladder.__version__,
            argparse_kwargs={
                "description": __doc__,
                "formatter_class": RawDescriptionHelpFormatter,
            },
        )
    except InvalidInput as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    except OperatorRequestFailed as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_code)
