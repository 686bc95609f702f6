"""Request mixes for the two example deployments."""

from pathlib import Path

from almondstack.bench.workload import Mix, QueueLoad

__all__ = ["EXAMPLES", "MIXES", "lagos_mix", "magnolia_mix"]

EXAMPLES = Path(__file__).parent.parent.parent / "examples"

_GROCER_WEIGHTS = {
    "delta-foods": 4.0,
    "bayou-grocers": 3.0,
    "piedmont-supply": 2.0,
    "gulf-haulers": 1.0,
}
_PUBLISHER_WEIGHTS = {"agency": 3.0, "large-publishers": 4.0, "small-publishers": 2.0}


def magnolia_mix(scale: float = 1.0, duration_s: float = 20.0) -> Mix:
    """Return the mix of the magnolia example.

    Explanation
    -----------
    Four grocers send scoring, matching, payment runs and statements; the public
    sends rate requests.  ``scale`` multiplies every arrival rate.
    """
    loads = (
        QueueLoad(
            queue="scoring",
            weights=_GROCER_WEIGHTS,
            per_second=20 * scale,
            work_ms=80,
            idempotent=0.8,
        ),
        QueueLoad(
            queue="matching",
            weights=_GROCER_WEIGHTS,
            per_second=15 * scale,
            work_ms=120,
            idempotent=0.5,
        ),
        QueueLoad(
            queue="payment-runs",
            weights={**_GROCER_WEIGHTS, "treasury": 2.0},
            per_second=10 * scale,
            work_ms=200,
            urgent=0.1,
        ),
        QueueLoad(
            queue="statements",
            weights=_GROCER_WEIGHTS,
            per_second=8 * scale,
            work_ms=150,
            idempotent=1.0,
        ),
        QueueLoad(
            queue="rates",
            weights={"public": 1.0},
            per_second=8 * scale,
            work_ms=20,
            idempotent=1.0,
        ),
    )
    return Mix(loads=loads, duration_s=duration_s)


def lagos_mix(scale: float = 1.0, duration_s: float = 20.0) -> Mix:
    """Return the mix of the lagos example.

    Explanation
    -----------
    Publishers and an agency send allocations, validations and barcodes; the
    agency and a national library request the list of forthcoming books; the
    public sends title lookups.  ``scale`` multiplies every arrival rate.
    """
    loads = (
        QueueLoad(
            queue="allocations", weights=_PUBLISHER_WEIGHTS, per_second=15 * scale, work_ms=100
        ),
        QueueLoad(
            queue="validations",
            weights={**_PUBLISHER_WEIGHTS, "university-presses": 2.0},
            per_second=20 * scale,
            work_ms=60,
            idempotent=0.9,
        ),
        QueueLoad(
            queue="barcodes",
            weights=_PUBLISHER_WEIGHTS,
            per_second=15 * scale,
            work_ms=80,
            idempotent=0.5,
        ),
        QueueLoad(
            queue="forthcoming-books",
            weights={"agency": 1.0, "national-library": 2.0},
            per_second=5 * scale,
            work_ms=400,
            urgent=0.1,
        ),
        QueueLoad(
            queue="title-lookups",
            weights={"public": 1.0},
            per_second=10 * scale,
            work_ms=20,
            idempotent=1.0,
        ),
    )
    return Mix(loads=loads, duration_s=duration_s)


MIXES = {"magnolia": magnolia_mix, "lagos": lagos_mix}
