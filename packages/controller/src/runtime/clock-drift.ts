/** How durations that another process counts look on the clock of this one. */
import type { Duration } from '@tealdock/wire';

/** A steady clock may run fast by 0.05%, so two of them drift apart by at most twice that. */
const CLOCK_DRIFT = 0.001;

/** What surely has not passed on another clock before this duration has passed here. */
export const minOnOtherClock = (duration: Duration): Duration => duration * (1 - CLOCK_DRIFT);

/** What surely has passed on another clock once this duration has passed here. */
export const maxOnOtherClock = (duration: Duration): Duration => duration * (1 + CLOCK_DRIFT);
