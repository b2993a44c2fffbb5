"""The command line and the validation of settings."""

import contextlib
import json

import pytest
import trustme

from godwitladder import cli
from godwitladder.client import OperatorClient, OperatorRequestFailed
from godwitladder.findings import InvalidInput
from godwitladder.settings import TlsSettings, read_settings
from tests.fleet import OPERATOR_TOKEN, digest
from tests.membership.test_tls import make_tls
from tests.serving.test_surface import serve

VALID_SETTINGS = f"""
host = "host-a1"
zone = "a"
zones = ["a", "b"]
[[operators]]
name = "hanna"
digest = "{digest("token")}"
[listen]
callers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
peers = "127.0.0.1:7003"
[platform]
log = "http://127.0.0.1:7100"
hosts = "http://127.0.0.1:7100"
[peers]
secret = "a secret of tests"
"""


def findings(tmp_path, text):
    path = tmp_path / "host.toml"
    path.write_text(text)
    with pytest.raises(InvalidInput) as caught:
        read_settings(path)
    return [str(row).replace(str(path), "host.toml") for row in caught.value.findings]


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ('zone = "a"', 'zone = "A"', "zone"),
        ("127.0.0.1:7002", "127.0.0.1:7001", "listen.operators"),
        ("127.0.0.1:7003", "localhost:7003", "listen.peers"),
        (digest("token"), "f00", "operators[0].digest"),
        ("http://127.0.0.1:7100", "127.0.0.1:7100", "platform.log"),
        ("a secret of tests", "short", "peers.secret"),
        ("[peers]", '[peers]\nseeds = ["host-b1"]', "peers.seeds"),
        ("[peers]", "[peers]\ntimeout_s = 0.6", "peers.timeout_s"),
        ("[peers]", "[peers]\ntimeout = 3", "peers.timeout"),
        (
            "[platform]",
            '[listen.callers_tls]\ncertificate = "/none"\nkey = "/none"\n[platform]',
            "listen.callers_tls.certificate",
        ),
    ],
)
def test_each_invalid_setting_is_named(tmp_path, old, new, place):
    assert old in VALID_SETTINGS
    rows = findings(tmp_path, VALID_SETTINGS.replace(old, new))
    assert rows[0].startswith(f"host.toml: {place}: ")


def test_all_findings_come_together_and_nothing_starts(tmp_path, capsys):
    """Settings with two misspelt keys: both are reported before the host starts.

    Each error suggests the closest known key.
    """
    text = VALID_SETTINGS.replace("callers =", "caller =").replace(
        "secret =", "secrets ="
    )
    (tmp_path / "host.toml").write_text(text)
    with pytest.raises(SystemExit) as caught:
        cli.main(["serve", "--settings", str(tmp_path / "host.toml")])
    assert caught.value.code == cli.EXIT_INVALID
    error = capsys.readouterr().err
    assert "did you mean 'callers'" in error
    assert "did you mean 'secret'" in error
    assert error.count("is missing") == 2


@pytest.mark.parametrize("text", ["", "host = ", None])
def test_unreadable_settings_are_findings(tmp_path, text):
    path = tmp_path / "host.toml"
    if text is not None:
        path.write_text(text)
    with pytest.raises(InvalidInput):
        read_settings(path)


def test_client_trusts_only_the_authority_it_is_given(tmp_path):
    """Guards against a server that impersonates the operators' TLS listener."""
    authority, other = trustme.CA(), trustme.CA()
    tls = make_tls(tmp_path, authority, "host")
    foreign = make_tls(tmp_path, other, "foreign")

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"{}"]

    with contextlib.ExitStack() as stack:
        # With an authority, the listener would request client certificates.
        served = TlsSettings(tls.certificate, tls.key)
        root = f"https://127.0.0.1:{serve(stack, app, served)}"
        assert OperatorClient(root, "t", tls.authority).get("/v1/status") == {}
        with pytest.raises(OperatorRequestFailed) as caught:
            OperatorClient(root, "t", foreign.authority).get("/v1/status")
        assert caught.value.exit_code == 3


def test_knobs_are_checked_before_a_standin_starts(capsys):
    code, _, error = run(
        capsys, "standin", "engine", "--knobs", "frozn=true", "slots=x"
    )
    assert code == cli.EXIT_INVALID
    assert "did you mean 'frozen'" in error
    assert "--knobs slots=x: must be name=value in JSON" in error


def run(capsys, *argv):
    """Return the exit code, standard output and standard error of one command."""
    try:
        cli.main([str(item) for item in argv])
        code = 0
    except SystemExit as error:
        code = error.code
    captured = capsys.readouterr()
    return code, captured.out, captured.err


def test_commands_of_an_operator(fleet, tmp_path, capsys, monkeypatch):
    """An operator checks and submits tickets and reads their verdicts.

    A new host in a zone that can't reach the log takes its configuration from a
    peer, because it can't replay the log. For a ticket submitted to that host, the
    operator is told that the outcome is unknown.
    """
    monkeypatch.setenv("GODWITLADDER_TOKEN", OPERATOR_TOKEN)
    first = fleet.add_host("host-a1", "a")
    fleet.wait_ready()
    path = tmp_path / "ticket.toml"
    path.write_text(fleet.ticket(4))
    assert run(capsys, "ticket", "check", path)[0] == 0
    host = ["--host", first.operators]
    assert run(capsys, "ticket", "submit", path, *host)[:2] == (
        0,
        "offset 0: accepted\n",
    )
    path.write_text(fleet.ticket(4).replace("rank = 0", "rank = 7"))
    code, out, error = run(capsys, "ticket", "submit", path, *host)
    assert (code, out) == (1, "")
    assert "4 is taken: hanna used it at offset 0 for other content" in error
    path.write_text("number = 0")
    assert run(capsys, "ticket", "submit", path, *host)[0] == cli.EXIT_INVALID
    lines = run(capsys, "audit", "--json", *host)[1].splitlines()
    assert [json.loads(line)["cause"] for line in lines] == [None, "conflict"]
    assert "4 by hanna at offset 0" in run(capsys, "ticket", "list", *host)[1]
    shown = json.loads(run(capsys, "ticket", "show", 4, *host)[1])
    assert "tiers.urgent" in shown["in_force"]

    fleet.set_knobs(fleet.platform, cut_zones=["b"])
    second = fleet.add_host("host-b1", "b")
    fleet.wait_ready()
    status = json.loads(run(capsys, "status", "--host", second.operators)[1])
    assert (status["config_offset"], status["log_reachable"]) == (2, False)
    assert status["peers"] == ["host-a1"]
    path.write_text(fleet.ticket(5))
    cut = ["--host", second.operators]
    code, _, error = run(capsys, "ticket", "submit", path, *cut)
    assert code == 3
    assert "may_have_run" in error
    monkeypatch.setenv("GODWITLADDER_TOKEN", "unknown")
    assert run(capsys, "audit", *host)[0] == 1
    assert run(capsys, "audit", "--host", "127.0.0.1:1")[0] == 3
