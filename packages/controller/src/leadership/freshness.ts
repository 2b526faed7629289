/** How stale the known cancellations may be. */
import type { Duration, Settings } from '@tealdock/wire';
import { maxOnOtherClock } from '../runtime/clock-drift.js';

/** For the way of an answer, and for what a worker takes to end its tasks. */
const STOP_MARGIN_MS = 2000;
/** More than a few missed watches, and about as long as a leader's lease. */
const DEFAULT_MAX_STALENESS_MS = 6000;
/** News travels for longer than this often enough. */
const MIN_MAX_STALENESS_MS = 2000;
/** The steps in which a limit is named to users: a tenth of a second. */
const ROUNDING_MS = 100;
const TENTHS_PER_SECOND_COUNT = 10;

type CancellationSettings = Pick<Settings, 'cancellationLimit' | 'workerLeaseDuration'>;

/**
 * How stale the known cancellations may be, in ms, on which an answer rests that renews a
 * lease. A job whose cancellation was not known then ends with that lease, which must still
 * be within `cancel_s` of the cancellation (docs/safety.md).
 */
export function maxStaleness(settings: CancellationSettings): Duration {
  return Math.min(DEFAULT_MAX_STALENESS_MS, timeLeftAfterLease(settings));
}

/**
 * Checks that cancellations can be carried out in time under these settings. Null if they
 * can, else a message for users that names the setting and its least value.
 */
export function cancellationLimitProblem(settings: CancellationSettings): string | null {
  if (timeLeftAfterLease(settings) >= MIN_MAX_STALENESS_MS) return null;
  const minLimit =
    maxOnOtherClock(settings.workerLeaseDuration) + STOP_MARGIN_MS + MIN_MAX_STALENESS_MS;
  const minSeconds = Math.ceil(minLimit / ROUNDING_MS) / TENTHS_PER_SECOND_COUNT;
  return `settings.workers.cancel_s: must be at least ${minSeconds} with this lease_s`;
}

/** What is left of `cancel_s` once a worker's lease has expired. */
function timeLeftAfterLease(settings: CancellationSettings): Duration {
  const leaseEnd = maxOnOtherClock(settings.workerLeaseDuration);
  return settings.cancellationLimit - leaseEnd - STOP_MARGIN_MS;
}
