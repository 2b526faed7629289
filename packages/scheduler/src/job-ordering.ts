/** The order in which jobs are placed. */
import type { Instant, JobSpec, Priority } from '@tealdock/wire';

const RANKS: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

/** Rank of a job's priority, from 0 for the lowest to 3 for the highest. */
export const priorityRank = (spec: JobSpec): number => RANKS[spec.priority];

/** The higher of two priorities. */
export const higherPriority = (a: Priority, b: Priority): Priority =>
  RANKS[a] >= RANKS[b] ? a : b;

/** The properties of a job by which `compareJobs` orders jobs. */
export interface JobRank {
  spec: JobSpec;
  /** Since when the job may start. */
  startableAt: Instant;
  /** The earliest start deadline that has not passed; Infinity if there is none. */
  nextStartDeadline: Instant;
  /** Whether the job's team would stay within its guarantee with one more task of the job. */
  isGuaranteed: boolean;
  /** Whether the job has been startable for too long with no task done or bound. */
  isStarving: boolean;
}

/**
 * Returns a negative number if `a` is placed before `b`. Starving jobs come first, the oldest of
 * them first, since under a steady load of higher priority they would never start. Then come jobs
 * within their team's guarantee, so that no other job takes the capacity that was reclaimed for
 * them. Further criteria are the priority, the next start deadline and the age. In overload, a
 * job that has missed its objectives thus waits for jobs that can still meet theirs.
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
