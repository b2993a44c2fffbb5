"""godwitladder: a request scheduler for heterogeneous engines and services.

Run an entry host with "serve", change its configuration with numbered
tickets ("ticket"), and show the verdicts on tickets ("audit") and the state of
a host ("status"). Commands that send a request to a host take the address for
operators of any entry host and read the operator's token from
GODWITLADDER_TOKEN. If hosts use TLS, prefix the address with https:// and set
GODWITLADDER_AUTHORITY to the PEM file of the certificate authority.

Exit codes: 0 success; 1 the host refused the request, or the ticket was
rejected; 2 wrong usage, or errors in the settings or the ticket; 3 the host did
not answer, reported that the outcome is unknown, or is temporarily unable to
serve the request.
"""

import json
import sys
import threading
from argparse import RawDescriptionHelpFormatter
from collections.abc import Callable, Iterable
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
from godwitladder.process.exits import end_failed_start
from godwitladder.routing.settings import read_routed_settings
from godwitladder.settings import read_settings
from godwitladder.spending import find_spending_windows, format_windows
from godwitladder.standins import engine, platform, service
from godwitladder.standins.engine import start_engine
from godwitladder.standins.platform import start_platform
from godwitladder.standins.service import start_service

EXIT_INVALID = 2


def serve(*, settings: Path) -> None:
    """Run one entry host until SIGTERM, then finish the requests in flight.

    Nothing is started if the settings have errors.

    Parameters
    ----------
    settings : Path
        TOML file with the host's settings.
    """
    configure_logs()
    checked = read_settings(settings)
    try:
        run_entry_host(checked)
    except Exception as error:
        end_failed_start(error)


def check_settings(*, settings: Path) -> None:
    """Check a settings file and print all errors.

    Parameters
    ----------
    settings : Path
        TOML file with a host's settings.
    """
    read_settings(settings)
    print(f"{settings}: sound")


def check_routed_settings(*, settings: Path) -> None:
    """Check the settings file of a host that serves routed calls, and print all errors.

    Parameters
    ----------
    settings : Path
        TOML file with a host's settings.
    """
    read_routed_settings(settings)
    print(f"{settings}: sound")


def explain_request(request: str, *logs: Path) -> None:
    """Print the log lines of one request on all hosts, sorted by time.

    Parameters
    ----------
    request : str
        The request id that the caller sent.
    logs : Path
        Files with the JSON log lines of any number of hosts.
    """
    lines = (
        line
        for path in logs
        for line in read_file(path).decode(errors="replace").splitlines()
    )
    for row in find_request_lines(lines, request):
        print(row)


def summarize_logs(*logs: Path, span: float = 2.0) -> None:
    """Print the outcomes of all calls in the log lines of hosts, with their causes.

    Parameters
    ----------
    logs : Path
        Files with the JSON log lines of any number of hosts.
    span : float
        Length of the time span for each row of the second table, in seconds.
    """
    for row in format_summary(summarize_calls(read_log_lines(logs), span), span):
        print(row)


def show_spending(*logs: Path, window: float = 8.0) -> None:
    """Print the window in which each workspace spent most, and who granted it.

    Parameters
    ----------
    logs : Path
        Files with the JSON log lines of any number of hosts.
    window : float
        Length of the window, in seconds.
    """
    for row in format_windows(find_spending_windows(read_log_lines(logs), window)):
        print(row)


def read_log_lines(logs: Iterable[Path]) -> list[str]:
    """Return the lines of log files."""
    return [
        line
        for path in logs
        for line in read_file(path).decode(errors="replace").splitlines()
    ]


def check_ticket(ticket: Path) -> None:
    """Check a ticket without contacting a host.

    Whether its number is high enough and whether the objects that it refers to
    exist is only checked when it is submitted.

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
    """Submit a ticket to any entry host and print its verdict.

    If the outcome is unknown, submit the same file again: a ticket that was
    already accepted has no effect.

    Parameters
    ----------
    ticket : Path
        TOML file with the ticket.
    host : str
        Operators' address of an entry host, as address:port.
    wait : float
        Maximum wait for the verdict, in seconds; the host limits it to 10.
    json : bool
        Print the host's answer as JSON.
    """
    data = read_file(ticket)
    read_ticket(data, str(ticket))
    row = OperatorClient(host).submit(data, wait)
    show([row], json, lambda row: f"offset {row['offset']}: {row['verdict']}")


def list_tickets(*, host: str, json: bool = False) -> None:
    """List the most recently accepted tickets.

    Parameters
    ----------
    host : str
        Operators' address of an entry host, as address:port.
    json : bool
        Print one JSON object per line.
    """
    rows = OperatorClient(host).get("/v1/tickets")["tickets"]
    show(
        rows,
        json,
        lambda row: f"{row['number']} by {row['operator']} at offset {row['offset']}",
    )


def show_ticket(number: int, *, host: str) -> None:
    """Print all verdicts on a ticket number, and which of its objects are in force.

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
        Print one JSON object per line.
    """
    rows = OperatorClient(host).get(f"/v1/audit?from={start}")["audit"]
    show(rows, json, audit_line)


def show_status(*, host: str) -> None:
    """Print the status of an entry host as JSON.

    Parameters
    ----------
    host : str
        Operators' address of the entry host, as address:port.
    """
    print(json.dumps(OperatorClient(host).get("/v1/status"), indent=2))


def show_quarantine(*, host: str) -> None:
    """Print the quarantined requests, one JSON object per line.

    Parameters
    ----------
    host : str
        Operators' address of any entry host, as address:port.
    """
    for row in OperatorClient(host).get("/v1/quarantine")["quarantined"]:
        print(json.dumps(row))


def lift_quarantine(digest: str, *, operator: str, host: str) -> None:
    """Allow a quarantined request to run again on all hosts.

    Parameters
    ----------
    digest : str
        Digest of the request, as shown in its refusal and in the list.
    operator : str
        Name of the operator who lifts the quarantine, for the logs.
    host : str
        Operators' address of any entry host, as address:port.
    """
    print(json.dumps(OperatorClient(host).lift(digest, operator)))


def standin_platform(*, listen: str = "127.0.0.1:0", knobs: list[str] = ()) -> None:
    """Run a stand-in for the platform.

    Parameters
    ----------
    listen : str
        Address to listen on, as address:port.
    knobs : list[str]
        Initial values, each as name=value with the value in JSON.
    """
    run_standin(start_platform(listen, **read_knobs(knobs, platform.KNOBS)))


def standin_engine(*, listen: str = "127.0.0.1:0", knobs: list[str] = ()) -> None:
    """Run a stand-in for a language model engine.

    Parameters
    ----------
    listen : str
        Address to listen on, as address:port.
    knobs : list[str]
        Initial values, each as name=value with the value in JSON.
    """
    run_standin(start_engine(listen, **read_knobs(knobs, engine.KNOBS)))


def standin_service(*, listen: str = "127.0.0.1:0", knobs: list[str] = ()) -> None:
    """Run a stand-in for a plain service.

    Parameters
    ----------
    listen : str
        Address to listen on, as address:port.
    knobs : list[str]
        Initial values, each as name=value with the value in JSON.
    """
    run_standin(start_service(listen, **read_knobs(knobs, service.KNOBS)))


def run_standin(server) -> None:
    """Print the address of the stand-in and run until interrupted."""
    print(server.address, flush=True)
    threading.Event().wait()


def read_knobs(texts: list[str], known: dict) -> dict:
    """Parse knobs given as ``name=value`` with the value in JSON.

    Parameters
    ----------
    texts : list of str
        The knobs.
    known : dict
        The knobs of the stand-in by name.

    Raises
    ------
    InvalidInput
        If a name is unknown or a value is not JSON; lists all findings.
    """
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
    """Return the content of a file, or raise `InvalidInput` if it can't be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        text = f"can't be read: {error.strerror}"
        raise InvalidInput((Finding(str(path), text),)) from error


def audit_line(row: dict) -> str:
    """Return an audit entry as human-readable text, with findings on extra lines."""
    head = f"{row['offset']}: ticket {row['number']} by {row['operator'] or 'nobody'}"
    cause = f" ({row['cause']})" if row["cause"] else ""
    findings = "".join(f"\n    {text}" for text in row["findings"])
    return f"{head}: {row['verdict']}{cause}, {row['reason']}{findings}"


def show(rows: list[dict], as_json: bool, line: Callable[[dict], str]) -> None:
    """Print rows, either as JSON or formatted by ``line``."""
    for row in rows:
        print(json.dumps(row) if as_json else line(row))


COMMANDS = {
    "serve": serve,
    "settings": {"check": check_settings, "check-routed": check_routed_settings},
    "explain": explain_request,
    "account": summarize_logs,
    "spending": show_spending,
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
    """Run the command line; exit with a non-zero code if the command fails."""
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
