/** Bounds for durations that another process measures with its own clock. */
import type { Duration } from '@tealdock/wire';

/** A monotonic clock may be off by 0.05%, so two of them drift apart by at most twice that. */
const MAX_CLOCK_DRIFT_FRACTION = 0.001;

/** The shortest time on this clock in which `duration` can pass on another process's clock. */
export const minOnOtherClock = (duration: Duration): Duration =>
  duration * (1 - MAX_CLOCK_DRIFT_FRACTION);

/** The time on this clock after which `duration` has surely passed on another process's clock. */
export const maxOnOtherClock = (duration: Duration): Duration =>
  duration * (1 + MAX_CLOCK_DRIFT_FRACTION);
