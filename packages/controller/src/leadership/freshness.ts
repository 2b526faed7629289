/** Limits on the staleness of the known cancellations. */
import type { Duration, Settings } from '@tealdock/wire';
import { maxOnOtherClock } from '../runtime/clock-drift.js';

/** Time for a response to reach the worker and for the worker to kill its tasks. */
const STOP_MARGIN_MS = 2000;
/**
 * Limit unless `cancel_s` requires a lower one: longer than a few missed watches, and about as long
 * as the leader lease.
 */
const DEFAULT_MAX_STALENESS_MS = 6000;
/** Cancellations often take longer than this to become known, so a lower limit is not usable. */
const MIN_MAX_STALENESS_MS = 2000;
/** Error messages round the minimum of `cancel_s` up to a multiple of this (0.1 s). */
const ROUNDING_MS = 100;
const ROUNDING_STEPS_PER_SECOND_COUNT = 10;

type CancellationSettings = Pick<Settings, 'cancellationLimit' | 'workerLeaseDuration'>;

/**
 * Maximum staleness, in ms, of the known cancellations when a response renews a worker's lease.
 * Tasks of a job whose cancellation is not known yet are killed at the latest when that lease
 * expires, which must still be within `cancel_s` of the cancellation (docs/safety.md).
 */
export function maxStaleness(settings: CancellationSettings): Duration {
  return Math.min(DEFAULT_MAX_STALENESS_MS, timeLeftAfterLease(settings));
}

/**
 * Checks that these settings allow cancellations to be carried out in time. Returns null if they
 * do, else an error message that names the setting and its minimum.
 */
export function cancellationLimitProblem(settings: CancellationSettings): string | null {
  if (timeLeftAfterLease(settings) >= MIN_MAX_STALENESS_MS) return null;
  const minLimit =
    maxOnOtherClock(settings.workerLeaseDuration) + STOP_MARGIN_MS + MIN_MAX_STALENESS_MS;
  const minSeconds = Math.ceil(minLimit / ROUNDING_MS) / ROUNDING_STEPS_PER_SECOND_COUNT;
  return `settings.workers.cancel_s: must be at least ${minSeconds} with this lease_s`;
}

/** Part of `cancel_s`, in ms, left after a worker's lease expires and its tasks are killed. */
function timeLeftAfterLease(settings: CancellationSettings): Duration {
  const leaseEnd = maxOnOtherClock(settings.workerLeaseDuration);
  return settings.cancellationLimit - leaseEnd - STOP_MARGIN_MS;
}
