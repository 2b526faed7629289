/** How stale the known cancellations may be. */
import type { Duration, Settings } from '@tealdock/wire';
import { maxOnOtherClock } from '../runtime/clock-drift.js';

/** For the way of an answer, and for what a worker takes to end its tasks. */
const MARGIN = 2000;
/** More than a few missed watches, and about as long as a leader's lease. */
const USUAL_MAX_STALENESS = 6000;
/** News travels for longer than this often enough. */
const LEAST_MAX_STALENESS = 2000;

/** What of `cancel_s` is left once a worker's lease has run out. */
const timeLeftAfterLease = ({ cancellationLimit, workerLeaseDuration }: LeaseTimes): Duration =>
  cancellationLimit - maxOnOtherClock(workerLeaseDuration) - MARGIN;

type LeaseTimes = Pick<Settings, 'cancellationLimit' | 'workerLeaseDuration'>;

/**
 * How stale the known cancellations may be on which an answer rests that renews a lease.
 * Whatever such an answer does not know of and so keeps running ends a lease later, which
 * must still be within `cancel_s` of the cancellation (docs/safety.md).
 */
export function maxStaleness(settings: LeaseTimes): Duration {
  return Math.min(USUAL_MAX_STALENESS, timeLeftAfterLease(settings));
}

/** Why cancellations could not be kept in time under these settings, or null. */
export function cancelLimitProblem(settings: LeaseTimes): string | null {
  if (timeLeftAfterLease(settings) >= LEAST_MAX_STALENESS) return null;
  const least = maxOnOtherClock(settings.workerLeaseDuration) + MARGIN + LEAST_MAX_STALENESS;
  const atLeast = Math.ceil(least / 100) / 10;
  return `settings.workers.cancel_s: must be at least ${atLeast} with this lease_s`;
}
