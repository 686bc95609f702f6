"""Linear regression whose samples are forgotten exponentially."""

import math
from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["DecayingRegression", "Estimate"]

_RIDGE = 0.05
"""Weight of the prior, in samples, that a coefficient is zero."""

_MIN_DEVIATION = 0.05
"""Least assumed deviation of a result from the model: results are rough figures."""

_CONSTANT = 0
"""Column of the constant term."""


class Estimate(NamedTuple):
    """A coefficient with its standard error, both in units of the result."""

    value: float
    error: float


class DecayingRegression:
    """Ridge regression of a result on some regressors, with exponential forgetting.

    Explanation
    -----------
    Only the decaying sums of products are kept, so that the size does not depend on the
    number of samples.  Column 0 is the constant term.  See L. Ljung, System Identification,
    section 11.2, on forgetting factors; here all samples of an interval decay at once.

    Examples
    --------
    >>> regression = DecayingRegression()
    >>> column = regression.add_column()
    >>> for number in range(40):
    ...     regression.add({column: number % 2}, 0.5 + 0.25 * (number % 2))
    >>> round(regression.estimates()[column].value, 2)
    0.25
    """

    __slots__ = ("_products", "_rows", "_square")

    def __init__(self) -> None:
        self._rows: list[list[float]] = [[0.0]]
        self._products: list[float] = [0.0]
        self._square = 0.0

    @property
    def weight(self) -> float:
        """Number of samples, each decayed by its age."""
        return self._rows[_CONSTANT][_CONSTANT]

    def add_column(self) -> int:
        """Add a regressor that was zero in all samples so far, and return its column."""
        for row in self._rows:
            row.append(0.0)
        self._rows.append([0.0] * (len(self._rows) + 1))
        self._products.append(0.0)
        return len(self._rows) - 1

    def remove_column(self, column: int) -> None:
        """Forget a regressor; the columns after it move down by one."""
        del self._rows[column]
        for row in self._rows:
            del row[column]
        del self._products[column]

    def decay(self, factor: float) -> None:
        """Multiply the weight of all samples by a factor of 0 to 1."""
        self._rows = [[moment * factor for moment in row] for row in self._rows]
        self._products = [product * factor for product in self._products]
        self._square *= factor

    def add(self, values: Mapping[int, float], result: float) -> None:
        """Add a sample: the result, and the regressors that are not zero by column."""
        items = [(_CONSTANT, 1.0), *values.items()]
        for column, value in items:
            row = self._rows[column]
            for other, other_value in items:
                row[other] += value * other_value
            self._products[column] += value * result
        self._square += result * result

    def estimates(self) -> list[Estimate]:
        """Return the coefficient of each column; without a finite result the error is infinite.

        Explanation
        -----------
        That is so with too few samples, and where sums of products have overflowed.
        """
        inverse = _inverse(self._with_prior())
        values = [_dot(row, self._products) for row in inverse]
        deviation = self._deviation(values)
        return [
            _estimate(value, deviation * math.sqrt(max(0.0, inverse[column][column])))
            for column, value in enumerate(values)
        ]

    def _with_prior(self) -> list[list[float]]:
        rows = [row.copy() for row in self._rows]
        for column, row in enumerate(rows):
            row[column] += _RIDGE
        return rows

    def _deviation(self, values: list[float]) -> float:
        """Return the standard deviation of the results from the model."""
        freedom = self.weight - len(values)
        if freedom <= 0:
            return math.inf
        fitted = sum(
            value * _dot(row, values) for value, row in zip(values, self._rows, strict=True)
        )
        squares = self._square - 2 * _dot(values, self._products) + fitted
        if not math.isfinite(squares):
            return math.inf
        return max(_MIN_DEVIATION, math.sqrt(max(0.0, squares) / freedom))


def _estimate(value: float, error: float) -> Estimate:
    """Return an estimate; 0 with an infinite error if the value is not finite."""
    if not math.isfinite(value):
        return Estimate(0.0, math.inf)
    return Estimate(value, error if math.isfinite(error) else math.inf)


def _dot(first: list[float], second: list[float]) -> float:
    return sum(one * other for one, other in zip(first, second, strict=True))


def _inverse(matrix: list[list[float]]) -> list[list[float]]:
    """Return the inverse of a positive definite matrix, by Gauss-Jordan elimination in place."""
    size = len(matrix)
    for pivot in range(size):
        row = matrix[pivot]
        scale = 1.0 / row[pivot]
        row[pivot] = 1.0
        for column in range(size):
            row[column] *= scale
        for number, other in enumerate(matrix):
            if number != pivot:
                _eliminate(other, row, pivot)
    return matrix


def _eliminate(row: list[float], pivot_row: list[float], pivot: int) -> None:
    factor = row[pivot]
    row[pivot] = 0.0
    if factor:
        for column, value in enumerate(pivot_row):
            row[column] -= factor * value
