"""The mutations still fit the code."""

from bench.mutants import ROOT, read_mutants


def test_each_mutation_replaces_a_text_that_stands_once():
    """Guards against a run of all mutations that ends at the first one out of date."""
    stale = [
        mutant.safeguard
        for mutant in read_mutants()
        if (ROOT / mutant.file).read_text().count(mutant.old) != 1
    ]
    assert stale == []


def test_each_mutation_names_a_test_that_exists():
    """Guards against a mutation whose test was renamed."""
    missing = [
        mutant.safeguard
        for mutant in read_mutants()
        for word in mutant.test.split()
        if word.startswith("tests/")
        if not (ROOT / word.partition("::")[0]).exists()
    ]
    assert missing == []
