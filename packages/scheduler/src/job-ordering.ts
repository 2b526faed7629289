/** The order in which jobs are placed. */
import type { Instant, JobSpec, Priority } from '@tealdock/wire';

const RANKS: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

/** Rank of a job's priority, from 0 for the lowest to 3. */
export const priorityRank = (spec: JobSpec): number => RANKS[spec.priority];

/** The higher of two priorities. */
export const higherPriority = (a: Priority, b: Priority): Priority =>
  RANKS[a] >= RANKS[b] ? a : b;

/** What the order of jobs depends on. */
export interface JobRank {
  spec: JobSpec;
  /** Since when the job may start. */
  startableAt: Instant;
  /** Latest start for the next objective that can still be met; Infinity when none can. */
  nextStartDeadline: Instant;
  /** Whether the job's team is below its guarantee. */
  isGuaranteed: boolean;
  /** Whether none of its tasks has started for too long. */
  isStarving: boolean;
}

/**
 * Negative if `a` is placed before `b`. Starving jobs go first, oldest first: under steady load
 * of higher priority they would never start. Then guaranteed work, so that what was reclaimed
 * for it is not taken by others; then priority, the objective due first, the oldest. In overload
 * work that has missed its objectives waits for work that can still meet them.
 */
export function compareJobs(a: JobRank, b: JobRank): number {
  if (a.isStarving !== b.isStarving) return a.isStarving ? -1 : 1;
  if (a.isStarving) return a.startableAt - b.startableAt;
  if (a.isGuaranteed !== b.isGuaranteed) return a.isGuaranteed ? -1 : 1;
  const byPriority = priorityRank(b.spec) - priorityRank(a.spec);
  if (byPriority !== 0) return byPriority;
  if (a.nextStartDeadline !== b.nextStartDeadline) return a.nextStartDeadline - b.nextStartDeadline;
  return a.startableAt - b.startableAt;
}
