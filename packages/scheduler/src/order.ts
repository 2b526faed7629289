import type { Instant, JobSpec, Priority } from '@tealdock/wire';

const RANKS: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

export const rank = (spec: JobSpec): number => RANKS[spec.priority];

/** What the order of jobs depends on. */
export interface Ranked {
  spec: JobSpec;
  submitted: Instant;
  /** How long a task is expected to run, learnt or as estimated. */
  expected: number;
  /** True while the job's team is below its guarantee. */
  guaranteed: boolean;
}

/** When the job's next task has to start for the job to meet its deadline. */
function latestStart(job: Ranked): Instant {
  if (job.spec.deadline === null) return Infinity;
  return job.submitted + job.spec.deadline - job.expected;
}

/**
 * Guaranteed work first, so that what was reclaimed for it is not taken by
 * others; then priority, the least slack, the oldest.
 */
export function compareJobs(a: Ranked, b: Ranked): number {
  if (a.guaranteed !== b.guaranteed) return a.guaranteed ? -1 : 1;
  const byRank = rank(b.spec) - rank(a.spec);
  if (byRank !== 0) return byRank;
  const [slackA, slackB] = [latestStart(a), latestStart(b)];
  if (slackA !== slackB) return slackA - slackB;
  return a.submitted - b.submitted;
}
