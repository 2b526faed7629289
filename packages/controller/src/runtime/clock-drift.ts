/** Bounds of durations that another process measures with its own clock. */
import type { Duration } from '@tealdock/wire';

/** A steady clock may run fast by 0.05%, so two of them drift apart by at most twice that. */
const MAX_CLOCK_DRIFT_FRACTION = 0.001;

/** A duration that ends here before this one can end on another clock. */
export const minOnOtherClock = (duration: Duration): Duration =>
  duration * (1 - MAX_CLOCK_DRIFT_FRACTION);

/** A duration after which this one has surely ended on another clock. */
export const maxOnOtherClock = (duration: Duration): Duration =>
  duration * (1 + MAX_CLOCK_DRIFT_FRACTION);
