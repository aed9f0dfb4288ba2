"""Linear fits of measured figures."""

import dataclasses

import numpy


@dataclasses.dataclass(frozen=True, kw_only=True)
class Series:
    """Values of one figure at several sizes.

    Attributes:
        name: name of the figure, with its unit.
        by: quantity that was varied.
        sizes: at least four values of that quantity.
        values: the figure at each size.
        aim: size to extrapolate to.
    """

    name: str
    by: str
    sizes: list[float]
    values: list[float]
    aim: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fit:
    """A series with its linear fit.

    Attributes:
        series: the measured points.
        slope: slope of the line.
        base: value of the line at size 0.
        error: largest residual, as a share of the largest value.
        at_aim: value of the line at the size to extrapolate to.
    """

    series: Series
    slope: float
    base: float
    error: float
    at_aim: float


def fit(series: Series) -> Fit:
    """Fit a line to a series by least squares."""
    slope, base = numpy.polyfit(series.sizes, series.values, 1)
    fitted = [base + slope * size for size in series.sizes]
    residuals = [
        abs(a - b) for a, b in zip(fitted, series.values, strict=True)
    ]
    return Fit(
        series=series,
        slope=float(slope),
        base=float(base),
        error=float(max(residuals) / max(max(series.values), 1e-12)),
        at_aim=float(base + slope * series.aim),
    )


def describe(fits: list[Fit]) -> list[str]:
    """Return one line of text for each fit."""
    lines = []
    for one in fits:
        series = one.series
        points = ", ".join(
            f"{size:g}: {value:.4g}"
            for size, value in zip(series.sizes, series.values, strict=True)
        )
        lines.append(
            f"{series.name} by {series.by}: {points}; slope "
            f"{one.slope:.4g}, error {one.error:.0%}, at {series.aim:g}: "
            f"{one.at_aim:.4g}"
        )
    return lines
