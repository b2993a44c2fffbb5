"""Records what workspaces have spent, as facts that can be added up anywhere.

Load pattern: a workspace asks for several times its quota while its allocator
pauses, is cut off or is replaced. Several parts hand out the quota in turn or at the
same time: allocators of all pools, in each of their terms, and hosts without an
answer. If each counted only what it gave out itself, the workspace would get a part
of its quota from each of them.

So each host records what it has sent, and by whose grant. It tells this to the
allocator that it reports to, except for what that allocator granted. The allocator
adds its own grants. A report replaces what the same process told before. It may
therefore be lost, repeated or late, and it counts once.

Pure: times are passed in.

Thresholds
----------
HISTORY_S : window in which a workspace may run its quota, in seconds.
RECORDED_S : seconds for which spending is recorded. The first and the last of them lie
    in the window only in part.
USED_UP_S : time for which a refusal tells that a quota is used up. It covers the time
    in which hosts find that their allocator is gone, and choose another.
MAX_LISTING_GAP_S : longest time between two lists of a host that is in touch, which
    come once a second at least. What a host spent while it was out of touch is not
    this side's.
SLOT_S : resolution of an account. A bucket that is full gains nothing in the slot in
    which it is spent, so that longer slots would refuse what is within a quota.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitladder.ids import HostId, Incarnation, WorkspaceName

HISTORY_S = 8
RECORDED_S = HISTORY_S + 1
USED_UP_S = 3.0
MAX_LISTING_GAP_S = 1.5
DROP_INTERVAL_S = 1.0
SLOT_S = 0.25
RECORDED_SLOTS = int(RECORDED_S / SLOT_S)

Process = tuple[HostId, Incarnation]


@dataclass(frozen=True)
class Issuer:
    """An allocator in one of its terms, which grants requests.

    Attributes
    ----------
    allocator : HostId
        The host; empty for a host that sends without a grant.
    term : int
        The term.
    """

    allocator: HostId
    term: int

    def __str__(self) -> str:
        return f"{self.allocator}/{self.term}"


NO_ISSUER = Issuer(HostId(""), 0)


@dataclass(frozen=True)
class WorkspaceSpending:
    """Tokens of one workspace that one host spent by the grants of one issuer.

    Attributes
    ----------
    workspace : WorkspaceName
        The workspace.
    tokens : tuple of int
        Tokens spent in each of the last seconds, newest first.
    allocator, term : HostId, int
        The issuer of the grants.
    used_up : bool
        Whether the host was just told that the quota is used up.
    total : int
        Tokens spent since the process started; it only grows.
    """

    workspace: WorkspaceName
    tokens: tuple[int, ...]
    allocator: HostId = NO_ISSUER.allocator
    term: int = NO_ISSUER.term
    used_up: bool = False
    total: int = 0

    @property
    def issuer(self) -> Issuer:
        """The issuer of the grants."""
        return Issuer(self.allocator, self.term)


@dataclass
class SpendingHistory:
    """Tokens of each workspace that one host spent in the last seconds.

    Attributes
    ----------
    started_at : float or None
        Time of the first call of `covered_s`, in seconds. Spending before that is
        taken as unknown.
    refused_at : dict
        Time at which an allocator last refused a request for its quota, by workspace.
    seconds : dict
        Tokens spent by issuer and workspace, and by second.
    totals : Counter
        Tokens spent by issuer and workspace, as long as any of them are recent.
    """

    started_at: float | None = None
    refused_at: dict[WorkspaceName, float] = field(default_factory=dict)
    seconds: dict[tuple[Issuer, WorkspaceName], dict[int, int]] = field(
        default_factory=dict
    )
    totals: Counter[tuple[Issuer, WorkspaceName]] = field(default_factory=Counter)

    def record_spending(
        self,
        workspace: WorkspaceName,
        charge: int,
        now: float,
        issuer: Issuer = NO_ISSUER,
    ) -> None:
        """Record the tokens of a request that was sent to a target."""
        spent = self.seconds.setdefault((issuer, workspace), {})
        second = int(now)
        spent[second] = spent.get(second, 0) + charge
        self.totals[issuer, workspace] += charge

    def recent_spending(
        self, now: float, reader: Issuer | None = None
    ) -> tuple[WorkspaceSpending, ...]:
        """Return the recent spending of each workspace.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        reader : Issuer or None
            Issuer whose own grants are left out. For an unknown reader, the grants of
            each issuer are listed apart.
        """
        self.drop_old(now)
        sums: dict[tuple[Issuer, WorkspaceName], Counter[int]] = {}
        totals: Counter[tuple[Issuer, WorkspaceName]] = Counter()
        for (issuer, name), spent in self.seconds.items():
            if issuer == reader:
                continue
            key = (issuer if reader is None else NO_ISSUER), name
            sums.setdefault(key, Counter()).update(spent)
            totals[key] += self.totals[issuer, name]
        return tuple(
            WorkspaceSpending(
                workspace=name,
                tokens=_tokens_by_age(spent, int(now)),
                allocator=issuer.allocator,
                term=issuer.term,
                used_up=self.is_used_up(name, now),
                total=totals[issuer, name],
            )
            for (issuer, name), spent in sums.items()
        )

    def is_used_up(self, workspace: WorkspaceName, now: float) -> bool:
        """Return whether an allocator has just refused a request for its quota."""
        return now - self.refused_at.get(workspace, -math.inf) <= USED_UP_S

    def has_grants_of_others(self, now: float, reader: Issuer | None) -> bool:
        """Return whether anything was spent lately that ``reader`` did not grant."""
        self.drop_old(now)
        return any(issuer != reader for issuer, _ in self.seconds)

    def drop_old(self, now: float) -> None:
        """Drop the seconds that no window contains any more."""
        oldest = int(now) - RECORDED_S
        for key, spent in list(self.seconds.items()):
            for second in [second for second in spent if second <= oldest]:
                del spent[second]
            if not spent:
                del self.seconds[key], self.totals[key]
        for name, refused_at in list(self.refused_at.items()):
            if now - refused_at > USED_UP_S:
                del self.refused_at[name]

    def covered_s(self, now: float) -> float:
        """Return for how many seconds back the history is complete."""
        if self.started_at is None:
            self.started_at = now
        return now - self.started_at


@dataclass
class WorkspaceAccount:
    """What one workspace has spent in the last seconds, by anyone's grants.

    Attributes
    ----------
    slots : Counter
        Tokens spent, by slot of the allocator's clock.
    first_slot : int or None
        Slot at which the account begins.
    first_tokens : float
        Tokens that were available then.
    quota : tuple or None
        Capacity and refill of the bucket, in tokens and in tokens per second.
    cached_slot, cached_tokens : int or None, float
        Slot at whose start so many tokens are available; None if not computed yet.
    """

    slots: Counter[int] = field(default_factory=Counter)
    first_slot: int | None = None
    first_tokens: float = 0.0
    quota: tuple[float, float] | None = None
    cached_slot: int | None = None
    cached_tokens: float = 0.0

    def add(self, slot: int, tokens: int) -> None:
        """Add tokens that were spent in a slot, or take them back if negative."""
        if self.first_slot is not None and slot < self.first_slot:
            return
        self.slots[slot] += tokens
        if self.cached_slot is not None and slot < self.cached_slot:
            self.cached_slot = None

    def is_over(self, oldest: int) -> bool:
        """Return whether nothing was spent since a slot."""
        return all(slot < oldest for slot, spent in self.slots.items() if spent)

    def available(self, now: float, capacity: float, refill: float) -> float:
        """Return the tokens that a bucket would have left after this spending.

        Spending that becomes known late counts in the slot in which it took place. If
        it counted when it becomes known, what the bucket gained since would be lost.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        capacity : float
            Capacity of the bucket, in tokens.
        refill : float
            Tokens that it gains per second.
        """
        newest = slot_of(now)
        if self.quota != (capacity, refill):
            self.change_quota(newest, capacity, refill)
        gained = refill * (now - newest * SLOT_S)
        return min(capacity, self.tokens_at(newest) + gained) - self.slots[newest]

    def change_quota(self, newest: int, capacity: float, refill: float) -> None:
        """Go on with another quota, with what is left of the one before.

        If the spending of the last seconds counted against a quota that was lowered
        since, requests would be refused for seconds without need.
        """
        if self.quota is not None:
            left = self.tokens_at(newest) - self.slots[newest]
            self.first_slot, self.first_tokens = newest, min(capacity, left)
            self.slots.clear()
        self.quota, self.cached_slot = (capacity, refill), None

    def tokens_at(self, newest: int) -> float:
        """Return the tokens available at the start of a slot."""
        if self.cached_slot == newest:
            return self.cached_tokens
        self.move_start(newest - RECORDED_SLOTS)
        tokens = self.first_tokens
        for slot in range(self.first_slot, newest):
            tokens = self.spend_slot(tokens, self.slots[slot])
        self.cached_slot, self.cached_tokens = newest, tokens
        return tokens

    def spend_slot(self, tokens: float, spent: int) -> float:
        """Return the tokens left at the end of a slot in which some were spent."""
        capacity, refill = self.quota
        return min(capacity, tokens + refill * SLOT_S) - spent

    def move_start(self, first: int) -> None:
        """Let the account begin at a slot, if it began earlier.

        A debt from before that is forgiven: no window contains it any more.
        """
        if self.first_slot is None:
            self.first_slot, self.first_tokens = first, self.quota[0]
            for slot in [slot for slot in self.slots if slot < first]:
                del self.slots[slot]
        while self.first_slot < first:
            spent = self.slots.pop(self.first_slot, 0)
            self.first_tokens = max(0.0, self.spend_slot(self.first_tokens, spent))
            self.first_slot += 1


class ToldSpending(NamedTuple):
    """Tokens that a host has told, with their slot in the account."""

    workspace: WorkspaceName
    slot: int
    tokens: int


class ToldTotals(NamedTuple):
    """What a process told it had spent of each workspace, to whom and when."""

    told_at: float
    term: int
    tokens: Counter[WorkspaceName]


@dataclass
class SpendingLedger:
    """Accounts of all workspaces, as one allocator knows them.

    Attributes
    ----------
    accounts : dict
        Account of each workspace.
    told : dict
        What each process of a host told last.
    totals : dict
        When each process told last, and the totals of that.
    used_up_at : dict
        When a host last told that a quota is used up, by workspace.
    dropped_at : float
        When old entries were last dropped, in seconds.
    """

    accounts: dict[WorkspaceName, WorkspaceAccount] = field(default_factory=dict)
    told: dict[Process, list[ToldSpending]] = field(default_factory=dict)
    totals: dict[Process, ToldTotals] = field(default_factory=dict)
    used_up_at: dict[WorkspaceName, float] = field(default_factory=dict)
    dropped_at: float = -math.inf

    def account(self, workspace: WorkspaceName) -> WorkspaceAccount:
        """Return the account of a workspace."""
        account = self.accounts.get(workspace)
        if account is None:
            account = self.accounts[workspace] = WorkspaceAccount()
        return account

    def record_grant(self, workspace: WorkspaceName, charge: int, now: float) -> None:
        """Count a request that the owner of this ledger grants."""
        self.account(workspace).add(slot_of(now), charge)

    def replace_told(
        self,
        process: Process,
        rows: Iterable[WorkspaceSpending],
        sent_at: float,
        sent_s: float,
        own: Collection[Issuer] = (),
    ) -> None:
        """Count what a host tells of its spending, in place of what it told before.

        Tokens of a second count at its end, so that they leave the window with the
        last of them.

        Parameters
        ----------
        process : tuple of HostId and Incarnation
            The process that tells it.
        rows : iterable of WorkspaceSpending
            What it spent.
        sent_at : float
            When it told this, in seconds on the clock of the reader.
        sent_s : float
            The same on the clock of the host, by whose seconds it counts.
        own : collection of Issuer
            Issuers whose grants this ledger counts by itself.
        """
        rows = [row for row in rows if row.issuer not in own]
        for row in rows:
            if row.used_up:
                self.used_up_at[row.workspace] = sent_at
        for entry in self.told.pop(process, ()):
            self.account(entry.workspace).add(entry.slot, -entry.tokens)
        last_slot_at = sent_at - sent_s % 1 + 1 - SLOT_S
        entries = [
            ToldSpending(
                row.workspace, slot_of(min(sent_at, last_slot_at - age_s)), tokens
            )
            for row in rows
            for age_s, tokens in enumerate(row.tokens[:RECORDED_S])
            if tokens
        ]
        for entry in entries:
            self.account(entry.workspace).add(entry.slot, entry.tokens)
        if entries:
            self.told[process] = entries

    def replace_totals(
        self,
        process: Process,
        rows: Iterable[WorkspaceSpending],
        sent_at: float,
        term: int,
    ) -> Counter[WorkspaceName]:
        """Record the totals that a process tells; return by how much they grew.

        Parameters
        ----------
        process : tuple of HostId and Incarnation
            The process that tells it.
        rows : iterable of WorkspaceSpending
            What it spent.
        sent_at : float
            When it told this, in seconds on the clock of the reader.
        term : int
            Term of the reader whose grants ``rows`` leave out. Totals for different
            terms can't be compared.

        Returns
        -------
        Counter
            Tokens spent since the process last told this, by workspace; empty if
            that is too long ago.
        """
        tokens: Counter[WorkspaceName] = Counter()
        for row in rows:
            tokens[row.workspace] += row.total
        before = self.totals.get(process)
        self.totals[process] = ToldTotals(sent_at, term, tokens)
        if before is None or before.term != term:
            return Counter()
        if sent_at - before.told_at > MAX_LISTING_GAP_S:
            return Counter()
        return tokens - before.tokens

    def is_used_up(self, workspace: WorkspaceName, now: float) -> bool:
        """Return whether a host has just told that a quota is used up."""
        return now - self.used_up_at.get(workspace, -math.inf) <= USED_UP_S

    def drop_old(self, now: float) -> None:
        """Drop what no window contains any more, once a second."""
        if now - self.dropped_at < DROP_INTERVAL_S:
            return
        self.dropped_at = now
        oldest = slot_of(now) - RECORDED_SLOTS
        for process, entries in list(self.told.items()):
            if all(entry.slot < oldest for entry in entries):
                del self.told[process]
        for process, row in list(self.totals.items()):
            if slot_of(row.told_at) < oldest:
                del self.totals[process]
        for workspace, account in list(self.accounts.items()):
            if account.is_over(oldest):
                del self.accounts[workspace]
                self.used_up_at.pop(workspace, None)


def _tokens_by_age(spent: Mapping[int, int], newest: int) -> tuple[int, ...]:
    """Return the tokens of each second, newest first, up to the oldest with any."""
    return tuple(spent.get(second, 0) for second in range(newest, min(spent) - 1, -1))


def slot_of(now: float) -> int:
    """Return the number of the slot that contains a time."""
    return int(now // SLOT_S)
