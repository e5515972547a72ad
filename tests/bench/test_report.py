"""The report finds broken bounds, and has a row for each figure."""

from beryltrack_bench.report import Bound, check_bounds, format_page, load_bounds

RUN = {
    "experiment": "steady",
    "deployment": "lectora",
    "seed": 1,
    "replica_share": 0.9,
    "ceiling": 0.92,
    "gap": {"crash": {"p99": 1.1}, "pause": {"p99": 0.9}},
}


def find_places(*bounds):
    return [finding.place for finding in check_bounds(RUN, bounds)]


def test_a_figure_below_its_share_of_another_is_found():
    fair = Bound("steady", "replica_share", at_least=0.97, times="ceiling")
    strict = Bound("steady", "replica_share", at_least=0.99, times="ceiling")
    assert find_places(fair) == []
    assert find_places(strict) == ["replica_share"]


def test_a_bound_with_a_wildcard_applies_to_each_matching_figure():
    assert find_places(Bound("steady", "gap.*.p99", at_most=1.0)) == ["gap.crash.p99"]


def test_a_bound_without_a_figure_is_found():
    assert find_places(Bound("steady", "gone", at_most=1.0)) == ["gone"]


def test_bounds_of_other_experiments_and_deployments_are_ignored():
    assert find_places(Bound("failover", "gone", at_most=1.0)) == []
    assert find_places(Bound("steady", "gone", "jinhua", at_most=1.0)) == []


def test_the_page_has_a_row_for_each_figure():
    page = format_page([RUN], ())
    assert "| gap.crash.p99 | 1.1 |" in page
    assert "All bounds hold." in page


def test_each_bound_has_an_upper_or_a_lower_limit():
    assert all(
        bound.at_least is not None or bound.at_most is not None
        for bound in load_bounds()
    )
