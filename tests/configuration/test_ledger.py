"""Verdicts on tickets."""

import hashlib
import runpy
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitladder.configuration.ledger import Ledger, Verdict
from godwitladder.configuration.model import ObjectName
from godwitladder.configuration.snapshots import decode_snapshot, encode_snapshot
from godwitladder.configuration.tickets import read_ticket
from godwitladder.configuration.validation import Rejection
from godwitladder.findings import InvalidInput
from godwitladder.settings import read_settings
from tests.configuration.fakes import ticket, tier

KEY = hashlib.sha256(b"key").hexdigest()
SERVICE = '[services.letters]\nkind = "model"\nidempotent = true\n'
TARGET = '[targets.{}]\naddress = "127.0.0.1:9"\nservices = ["letters"]\n'
BASE = tier("urgent") + SERVICE


def replay(*texts):
    ledger = Ledger()
    entries = [
        ledger.replay(offset, 0.0, text.encode()) for offset, text in enumerate(texts)
    ]
    return ledger, entries


def test_rejection_names_the_object_the_number_that_won_and_its_writer():
    """Two operators race with tickets 5 and 6 on one tier; 6 lands first.

    Ticket 5 also touches another tier. It is rejected as a whole, and its
    operator reads which object lost to which ticket of whom.
    """
    ledger, entries = replay(
        ticket(6, tier("urgent"), "mart"), ticket(5, tier("urgent", 3) + tier("low", 9))
    )
    assert entries[1].verdict is Verdict.REJECTED
    assert entries[1].cause is Rejection.OUTDATED
    assert [str(row) for row in entries[1].findings] == [
        "tiers.urgent: ticket 5 lost to ticket 6 of mart at offset 0"
    ]
    assert [str(name) for name in ledger.objects] == ["tiers.urgent"]


@pytest.mark.parametrize("other", [tier("urgent", 4), tier("another")])
def test_same_number_with_other_content_is_a_conflict(other):
    """Two operators drew the same number, for one object or for two.

    The second one is told that the number is taken and by whom, whichever
    objects it touches: the trail must not hold two accepted tickets 5.
    """
    _, entries = replay(ticket(5, tier("urgent"), "mart"), ticket(5, other))
    assert entries[1].verdict is Verdict.REJECTED
    assert entries[1].cause is Rejection.CONFLICT
    assert "mart used it at offset 0" in entries[1].findings[0].text


def test_ticket_sent_again_is_a_repeat_even_after_a_later_one():
    """The answer to ticket 1 was lost, and ticket 2 replaced one of its objects.

    Its operator sends ticket 1 again, with another layout. It was accepted,
    so "rejected" would be untrue; and nothing of it comes back in force.
    """
    first = ticket(1, tier("urgent") + tier("low", 5))
    ledger, entries = replay(first, ticket(2, tier("urgent", 1)), first + "\n# again")
    assert [entry.verdict.value for entry in entries] == [
        "accepted",
        "accepted",
        "repeated",
    ]
    assert ledger.objects[ObjectName("tiers", "urgent")].number == 2


@pytest.mark.parametrize(
    ("later", "place"),
    [
        ('[workspaces.a]\ntier = "none"', "workspaces.a"),
        ('remove = ["services.letters"]', "targets.t1"),
        (TARGET.format("t2"), "targets.t2"),
        (
            f'[workspaces.a]\ntier = "urgent"\nkey_digests = ["{KEY}"]\n'
            f'[workspaces.b]\ntier = "urgent"\nkey_digests = ["{KEY}"]',
            "workspaces.b",
        ),
    ],
)
def test_objects_that_do_not_fit_together_are_rejected(later, place):
    ledger, entries = replay(
        ticket(1, BASE + TARGET.format("t1")), ticket(2, later), ticket(3, tier("x"))
    )
    assert entries[1].cause is Rejection.INCONSISTENT
    assert [row.place for row in entries[1].findings] == [place]
    assert entries[2].verdict is Verdict.ACCEPTED


def test_key_moves_from_one_workspace_to_another():
    """A workspace is split in two, and its bearer key goes along.

    In one ticket, then back by two: each time it is held once.
    """
    a = f'[workspaces.a]\ntier = "urgent"\nkey_digests = ["{KEY}"]\n'
    b = a.replace("workspaces.a", "workspaces.b")
    bare_a = '[workspaces.a]\ntier = "urgent"\n'
    ledger, entries = replay(
        ticket(1, BASE + a),
        ticket(2, b + bare_a),
        ticket(3, a),
        ticket(4, b.replace(KEY, "0" * 64)),
        ticket(5, a),
    )
    accepted = [entry.verdict is Verdict.ACCEPTED for entry in entries]
    assert accepted == [True, True, False, True, True]
    assert ledger.holders == Ledger(objects=ledger.objects).holders


def test_removed_object_is_not_brought_back_by_an_older_ticket():
    ledger, entries = replay(
        ticket(3, tier("urgent")),
        ticket(7, 'remove = ["tiers.urgent"]'),
        ticket(5, tier("urgent")),
        ticket(8, tier("urgent", 2)),
    )
    assert [entry.verdict.value for entry in entries[1:]] == [
        "accepted",
        "rejected",
        "accepted",
    ]


def test_rows_of_removed_objects_are_bounded(monkeypatch):
    """Targets come and go for years.

    The rows of the oldest removals are dropped, and a stale ticket still
    can't bring one of those objects back; a new one can be written.
    """
    monkeypatch.setattr("godwitladder.configuration.ledger.REMOVED_KEPT", 1)
    names = ("a", "b")
    ledger, entries = replay(
        ticket(1, tier("a") + tier("b") + tier("c")),
        *[ticket(5 + i, f'remove = ["tiers.{n}"]') for i, n in enumerate(names)],
        ticket(3, tier("a")),
        ticket(4, tier("b")),
        ticket(9, tier("a")),
    )
    causes = [entry.cause for entry in entries[3:]]
    assert causes == [Rejection.OUTDATED, Rejection.OUTDATED, None]
    assert "below removals up to ticket 5" in entries[3].findings[0].text
    assert decode_snapshot(encode_snapshot(ledger)) == ledger
    behind, _ = replay(ticket(1, tier("b")))
    ledger.objects.pop(ObjectName("tiers", "b"))
    ledger.keep_newer(behind)
    assert ObjectName("tiers", "b") not in ledger.objects


@pytest.mark.parametrize(
    "text",
    [
        "a = " + "[" * 50_000,
        "number = " + "9" * 5_000,
        "a" + ".a" * 20_000 + " = 1",
        ticket(1, "[tiers.a]\nrank = 1" + "0" * 400),
        ticket(1, f'[workspaces.a]\ntier = "b"\nshare = 1{"0" * 400}'),
        ticket(1, '[workspaces.a]\ntier = "b"\nshare = inf'),
        ticket(1, '[targets.a]\naddress = "127.0.0.1:²"'),
        ticket(1, '[tiers."a\\u0000b"]\nrank = 1'),
        ticket(2**53, tier("a")),
        ticket(1, tier("a")) + "#" * 1_048_576,
    ],
)
def test_record_that_breaks_readers_is_judged_like_any_other(text):
    """Somebody publishes a record that makes a TOML reader or a check fail.

    Each host replays it. An error that nobody expects would end the replay
    on all of them at once and again after each restart; it is a rejection.
    """
    ledger, entries = replay(text, ticket(1, tier("urgent")))
    assert entries[0].cause is Rejection.INVALID
    assert entries[1].verdict is Verdict.ACCEPTED


@given(st.one_of(st.binary(), st.text().map(str.encode)))
def test_any_bytes_are_read_or_refused_with_findings(data):
    try:
        read_ticket(data)
    except InvalidInput as error:
        assert error.findings


def test_examples_run_as_they_stand(capsys):
    examples = Path(__file__).parent.parent.parent / "examples"
    ledger = runpy.run_path(str(examples / "tickets_in_memory.py"))["main"]()
    assert ledger.objects[ObjectName("tiers", "urgent")].value.rank == 1
    assert "lost to ticket 3 of mart" in capsys.readouterr().out
    tickets = sorted((examples / "operations").glob("ticket-*.toml"))
    assert len([read_ticket(path.read_bytes()) for path in tickets]) == 3
    hosts = sorted((examples / "operations").glob("host-*.toml"))
    assert [read_settings(path).host for path in hosts] == ["host-a1", "host-a2"]
