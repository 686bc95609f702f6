from almondstack.bench.bounds import Bound


def test_bound_fails_above_a_maximum_and_below_a_minimum():
    assert Bound(name="a", measured=1.0, bound=1.0).holds
    assert not Bound(name="a", measured=1.1, bound=1.0).holds
    assert not Bound(name="a", measured=0.9, bound=1.0, is_least=True).holds
    assert str(Bound(name="a", measured=2.0, bound=1.0)).startswith("FAILED a: 2 <= 1")
