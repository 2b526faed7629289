/** The order in which jobs are placed. */
import type { Instant, JobSpec, Priority } from '@tealdock/wire';

const RANKS: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

export const priorityRank = (spec: JobSpec): number => RANKS[spec.priority];

export const higherPriority = (a: Priority, b: Priority): Priority =>
  RANKS[a] >= RANKS[b] ? a : b;

/** What the order of jobs depends on. */
export interface JobRank {
  spec: JobSpec;
  submitted: Instant;
  /** Latest start for the next aim that can still be met; Infinity when none can. */
  latestStart: Instant;
  /** True while the job's team is below its guarantee. */
  guaranteed: boolean;
  /** Nothing of it has begun for too long. */
  starving: boolean;
}

/**
 * A job of which nothing has begun for long goes first, whatever it is: under
 * steady load of higher work it would never begin. Then guaranteed work, so that
 * what was reclaimed for it is not taken by others; then priority, the aim that is
 * due first, the oldest. In overload work that has missed its aims waits for work
 * that can still meet them.
 */
export function compareJobs(a: JobRank, b: JobRank): number {
  if (a.starving !== b.starving) return a.starving ? -1 : 1;
  if (a.starving) return a.submitted - b.submitted;
  if (a.guaranteed !== b.guaranteed) return a.guaranteed ? -1 : 1;
  const byRank = priorityRank(b.spec) - priorityRank(a.spec);
  if (byRank !== 0) return byRank;
  if (a.latestStart !== b.latestStart) return a.latestStart - b.latestStart;
  return a.submitted - b.submitted;
}
