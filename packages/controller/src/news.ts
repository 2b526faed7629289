import type { Duration, Settings } from '@tealdock/wire';

/** Clock drift of twice 0.05%. */
const DRIFT = 0.001;
/** For the way of an answer, and for what a worker takes to end its tasks. */
const MARGIN = 2000;
/** More than a few missed watches, and about as long as a leader's lease. */
const USUAL_LIFE = 6000;
/** News travels for longer than this often enough. */
const LEAST_LIFE = 2000;

/** What of `cancel_s` is left once a worker's lease has run out. */
const slack = ({ cancelWithin, workerLease }: Terms): Duration =>
  cancelWithin - workerLease * (1 + DRIFT) - MARGIN;

type Terms = Pick<Settings, 'cancelWithin' | 'workerLease'>;

/**
 * How old the news of cancellations may be on which an answer rests that renews a lease.
 * Whatever such an answer does not know of and so keeps running ends a lease later, which
 * must still be within `cancel_s` of the cancellation (docs/safety.md).
 */
export function newsLife(settings: Terms): Duration {
  return Math.min(USUAL_LIFE, slack(settings));
}

/** Why cancellations could not be kept in time under these settings, or null. */
export function whyTooShort(settings: Terms): string | null {
  if (slack(settings) >= LEAST_LIFE) return null;
  const least = settings.workerLease * (1 + DRIFT) + MARGIN + LEAST_LIFE;
  const atLeast = Math.ceil(least / 100) / 10;
  return `settings.workers.cancel_s: must be at least ${atLeast} with this lease_s`;
}
